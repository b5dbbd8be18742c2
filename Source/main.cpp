#include "CommandLine/ProgramCommands.h"
#include "Transport/GrpcThreads.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    Transport::disableMutexDeadlockDetection();
    return CommandLine::CommandTable(CommandLine::programName, CommandLine::makeProgramCommands()).run(argc, argv);
}
