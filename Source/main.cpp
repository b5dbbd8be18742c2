#include "CommandLine/CommandTable.h"
#include "Transport/GrpcThreads.h"

int main(int argc, char** argv)
{
    Lavenderloft::Transport::disableMutexDeadlockDetection();
    return Lavenderloft::CommandLine::runCommand(argc, argv);
}
