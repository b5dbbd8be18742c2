#include "CommandLine/OptionTable.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::CommandLine;

namespace {

class SampleCommand final : public Command {
public:
    std::string name() const override { return "sample"; }
    std::string argumentSynopsis() const override { return "FILE"; }
    std::string summary() const override { return "A sample command."; }
    ExitCode run(const std::vector<std::string>&) override { return ExitCode::Success; }
};

} // namespace

// Guards against options that are ignored, parsed as positional arguments, or accepted without their value.
Test(OptionTable, readsFlagsTextsAndArguments)
{
    SampleCommand command;
    bool isVerbose = false;
    std::string address = "127.0.0.1:1";
    std::vector<std::string> files;
    OptionTable options("lavenderloft", command);
    options.flag("verbose", isVerbose, "Print more output").shortName('v').text("admin", address, "Address of the server").shortName('a', "IP:PORT").arguments(files, 1, 2);

    cr_assert(Base::succeeded(options.parse({ "one" })));
    cr_assert(files == std::vector<std::string> { "one" });
    cr_assert(!isVerbose && address == "127.0.0.1:1");

    cr_assert(Base::succeeded(options.parse({ "one", "-v", "--admin=127.0.0.1:2", "--", "--two" })));
    cr_assert(files == std::vector<std::string>({ "one", "--two" }));
    cr_assert(isVerbose && address == "127.0.0.1:2");

    for (auto& arguments : std::vector<std::vector<std::string>> { { "one", "--admin" }, { "-x", "one" }, {}, { "one", "two", "three" } })
        cr_assert(*options.parseOrExplain(arguments) == ExitCode::Usage);
}

// Guards against integer overflow and negative durations.
Test(OptionTable, rejectsNumbersOutOfRange)
{
    SampleCommand command;
    int count = 7;
    std::chrono::milliseconds wait { 5 };
    auto parse = [&](std::string argument) {
        OptionTable options("lavenderloft", command);
        options.number("count", count, "Count").milliseconds("wait-ms", wait, "Wait");
        return options.parse({ std::move(argument) });
    };
    for (auto* argument : { "--count=4294967297", "--count=-1", "--count=x", "--wait-ms=-1" }) {
        auto parsed = parse(argument);
        cr_assert(!Base::succeeded(parsed), "%s", argument);
        cr_assert(Base::errorOf(parsed).kind == OptionErrorKind::Malformed);
    }
    cr_assert(Base::succeeded(parse("--count=8")));
    cr_assert_eq(count, 8);
}
