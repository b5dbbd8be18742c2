#include "Standin/StandinCommands.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    return CommandLine::CommandTable("lavenderloft-standin", Standin::makeStandinCommands()).run(argc, argv);
}
