#include "CommandLine/ProgramCommands.h"
#include "Transport/GrpcThreads.h"
#include "platform/PlatformAdapter.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    Transport::disableMutexDeadlockDetection();
    Platform::PlatformAdapter platform;
    auto commands = CommandLine::makeProgramCommands();
    CommandLine::addNodeCommands(commands, platform);
    return CommandLine::CommandTable(CommandLine::programName, std::move(commands)).run(argc, argv);
}
