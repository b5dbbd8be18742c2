#include "CommandLine/ProgramCommands.h"
#include "Observability/Log.h"
#include "Transport/GrpcThreads.h"
#include "platform/PlatformAdapter.h"

namespace {

int runCommand(int argc, char** argv)
{
    using namespace Lavenderloft;
    Transport::disableMutexDeadlockDetection();
    Platform::PlatformAdapter platform;
    auto commands = CommandLine::makeProgramCommands();
    CommandLine::addNodeCommands(commands, platform);
    return CommandLine::CommandTable(CommandLine::programName, std::move(commands)).run(argc, argv);
}

} // namespace

int main(int argc, char** argv)
{
    auto status = runCommand(argc, argv);
    Lavenderloft::Observability::exitProcess(status);
}
