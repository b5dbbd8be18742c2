#include "CommandLine/OptionParser.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::CommandLine;

namespace {

class SampleCommand final : public Command {
public:
    std::string name() const override { return "sample"; }
    std::string argumentSynopsis() const override { return "FILE"; }
    std::string summary() const override { return "A command of the test."; }
    ExitCode run(const std::vector<std::string>&) override { return ExitCode::Success; }
};

} // namespace

// Guards against options that are lost, mistaken for arguments, or taken without their value.
Test(OptionParser, readsFlagsTextsAndArguments)
{
    SampleCommand command;
    bool isVerbose = false;
    std::string address = "127.0.0.1:1";
    OptionParser options(command);
    options.addFlag("verbose", 'v', isVerbose, "Say more");
    options.addText("admin", 'a', address, "IP:PORT", "Where to ask");
    options.expectArguments(1, 2);

    auto plain = options.parse({ "one" });
    cr_assert(std::get<OptionParser::Arguments>(plain) == OptionParser::Arguments { "one" });
    cr_assert(!isVerbose && address == "127.0.0.1:1");

    auto full = options.parse({ "one", "-v", "--admin=127.0.0.1:2", "--", "--two" });
    cr_assert(std::get<OptionParser::Arguments>(full) == OptionParser::Arguments({ "one", "--two" }));
    cr_assert(isVerbose && address == "127.0.0.1:2");

    for (auto& arguments : std::vector<std::vector<std::string>> { { "one", "--admin" }, { "-x", "one" }, {}, { "one", "two", "three" } })
        cr_assert(std::get<ExitCode>(options.parse(arguments)) == ExitCode::Usage);
}
