#include "CommandLine/CommandTable.h"

int main(int argc, char** argv)
{
    return Lavenderloft::CommandLine::runCommand(argc, argv);
}
