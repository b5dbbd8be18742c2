#include "CommandLine/ProgramCommands.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace Lavenderloft;

namespace {

// Redirects a stream to a string during its lifetime.
class StreamCapture {
public:
    explicit StreamCapture(std::ostream& stream)
        : m_stream(stream)
        , m_original(stream.rdbuf(m_text.rdbuf()))
    {
    }

    ~StreamCapture() { m_stream.rdbuf(m_original); }

    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::ostream& m_stream;
    std::streambuf* m_original;
};

struct CommandResult {
    int code;
    std::string output;
    std::string errors;

    bool outputContains(const std::string& text) const { return output.find(text) != std::string::npos; }
    bool errorsContain(const std::string& text) const { return errors.find(text) != std::string::npos; }
};

CommandResult run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "lavenderloft");
    std::vector<char*> argv;
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    StreamCapture output(std::cout);
    StreamCapture errors(std::cerr);
    int code = CommandLine::CommandTable(CommandLine::programName, CommandLine::makeProgramCommands()).run(static_cast<int>(arguments.size()), argv.data());
    return { code, output.text(), errors.text() };
}

// A temporary directory that is removed at the end of a test.
class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "lavenderloft-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }

    ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }

    std::string write(const std::string& name, const std::string& bytes) const
    {
        auto path = m_path / name;
        std::ofstream(path, std::ios::binary) << bytes;
        return path.string();
    }

private:
    std::filesystem::path m_path;
};

nlohmann::json document()
{
    return nlohmann::json::parse(R"({
        "revision": 5,
        "regions": [{ "name": "kutch" }],
        "dataCentres": [{ "name": "kut-1", "region": "kutch" }, { "name": "kut-2", "region": "kutch" }],
        "pools": [{ "name": "hazard", "manifest": ")"
        + std::string(64, 'a') + R"(", "replicas": 10, "maxUnavailable": 2, "coldLimit": 2, "fullLimit": 8 }],
        "services": [{ "name": "signs", "vms": ["s1", "s2"] }],
        "routes": [{ "path": "/hazard", "pool": "hazard" }, { "path": "/signs", "service": "signs" }] })");
}

CommandResult diff(const nlohmann::json& before, const nlohmann::json& after)
{
    TemporaryDirectory directory;
    return run({ "diff", directory.write("old.json", before.dump()), directory.write("new.json", after.dump()) });
}

} // namespace

// Guards against wrong exit codes, on which publishing scripts rely.
Test(CheckCommand, distinguishesValidInvalidAndUsageErrors)
{
    TemporaryDirectory directory;
    auto valid = directory.write("valid.json", document().dump());
    auto faulty = directory.write("faulty.json", R"({ "revision": 1, "regionz": [] })");
    auto large = directory.write("large.json", std::string(10'000'000, ' '));
    cr_assert_eq(run({ "check", valid }).code, 0);
    cr_assert(run({ "check", valid }).outputContains("revision 5"));
    auto refused = run({ "check", faulty });
    cr_assert_eq(refused.code, 1);
    cr_assert(refused.errorsContain("/regionz") && refused.errorsContain("/pools") && refused.errorsContain("line 1, column"));
    cr_assert_eq(run({ "check", large }).code, 1);
    cr_assert_eq(run({ "check", "--settings", valid }).code, 1);
    cr_assert_eq(run({ "check" }).code, 2);
    cr_assert_eq(run({ "check", valid, faulty }).code, 2);
    cr_assert_eq(run({ "check", "--colour", valid }).code, 2);
    cr_assert_eq(run({ "check", valid + ".missing" }).code, 2);
    cr_assert_eq(run({ "check", std::filesystem::temp_directory_path().string() }).code, 2);
    auto help = run({ "check", "--help" });
    cr_assert(help.code == 0 && help.outputContains("--settings"));
}

// Guards against publishing a document that moves key homes while requests run, or whose revision is too low to be accepted.
Test(DiffCommand, refusesUnsafeSteps)
{
    auto before = document();
    auto same = diff(before, before);
    cr_assert_eq(same.code, 1);
    cr_assert(same.outputContains("revision 5 is not greater than 5"));

    auto moved = document();
    moved["revision"] = 6;
    moved["services"][0]["vms"] = { "s1", "s3" };
    auto direct = diff(before, moved);
    cr_assert_eq(direct.code, 1);
    cr_assert(direct.outputContains("refused: service signs: VMs added: s3; removed: s2"));

    // The service must already be paused in the old document.
    moved["services"][0]["paused"] = true;
    cr_assert_eq(diff(before, moved).code, 1);
    before["services"][0]["paused"] = true;
    cr_assert_eq(diff(before, moved).code, 0);

    auto reordered = document();
    reordered["revision"] = 6;
    reordered["services"][0]["vms"] = { "s2", "s1" };
    cr_assert_eq(diff(document(), reordered).code, 0);
}

// Guards against consequences that are not shown before a document is published.
Test(DiffCommand, showsConsequences)
{
    auto after = document();
    after["revision"] = 6;
    after["dataCentres"][1]["state"] = "out";
    after["pools"][0]["manifest"] = std::string(64, 'b');
    after["pools"][0]["replicas"] = 6;
    after["routes"][1]["repeatable"] = true;
    after["routes"].push_back({ { "path", "/signs/status" }, { "service", "signs" }, { "class", "summary" } });
    auto outcome = diff(document(), after);
    cr_assert_eq(outcome.code, 0);
    cr_assert(outcome.outputContains("data centre kut-2: is taken out"));
    cr_assert(outcome.outputContains("pool hazard: version aaaaaaaaaaaa -> bbbbbbbbbbbb"));
    cr_assert(outcome.outputContains("pool hazard: capacity in requests at a time 80 -> 48"));
    cr_assert(outcome.outputContains("capacity while replicas switch: at least 32"));
    cr_assert(outcome.outputContains("warning: route /signs: calls may now be repeated"));
    cr_assert(outcome.outputContains("route /signs/status: takes over calls that matched /signs"));
    cr_assert(outcome.outputContains("route /signs/status: class interactive -> summary"));
    cr_assert_not(outcome.outputContains("refused"));

    auto adapted = document();
    adapted["revision"] = 6;
    adapted["pools"][0]["adapters"] = { std::string(64, 'c') };
    adapted["routes"][0]["adapter"] = std::string(64, 'c');
    auto adapterOutcome = diff(document(), adapted);
    cr_assert(adapterOutcome.outputContains("pool hazard: adapter cccccccccccc is added"));
    cr_assert(adapterOutcome.outputContains("route /hazard: calls go to pool hazard with adapter cccccccccccc instead of pool hazard"));
    cr_assert_not(adapterOutcome.outputContains("while replicas switch"));

    auto narrowed = document();
    narrowed["revision"] = 6;
    narrowed["pools"][0]["dataCentres"] = { "kut-1" };
    cr_assert(diff(document(), narrowed).outputContains("warning: data centre kut-2: is left without replicas"));
    narrowed["dataCentres"][0]["state"] = "out";
    cr_assert(diff(document(), narrowed).outputContains("warning: pool hazard: none of its data centres is in"));
}
