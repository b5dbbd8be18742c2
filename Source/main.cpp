#include "CommandLine/ProgramCommands.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft::CommandLine;
    return CommandTable(programName, makeProgramCommands()).run(argc, argv);
}
