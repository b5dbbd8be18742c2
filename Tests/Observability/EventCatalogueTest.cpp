#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

namespace {

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream input(path);
    std::stringstream text;
    text << input.rdbuf();
    return text.str();
}

std::map<int, std::string> eventsInCode()
{
    std::map<int, std::string> events;
    const std::regex definition(R"re(Event\s+\w+\s*\{\s*(\d+),\s*"([a-z0-9-]+)")re");
    for (auto& entry : std::filesystem::recursive_directory_iterator(LAVENDERLOFT_SOURCE_DIR "/Source")) {
        if (entry.path().filename() != "Events.h")
            continue;
        auto text = readFile(entry.path());
        for (std::sregex_iterator match(text.begin(), text.end(), definition), end; match != end; ++match) {
            auto number = std::stoi((*match)[1]);
            cr_expect(events.emplace(number, (*match)[2]).second, "event %d is defined twice", number);
        }
    }
    return events;
}

std::map<int, std::string> eventsInDocs()
{
    std::map<int, std::string> events;
    const std::regex row(R"re(\| LL(\d+) \| ([a-z0-9-]+) \|)re");
    auto text = readFile(LAVENDERLOFT_SOURCE_DIR "/docs/events.md");
    for (std::sregex_iterator match(text.begin(), text.end(), row), end; match != end; ++match)
        events.emplace(std::stoi((*match)[1]), (*match)[2]);
    return events;
}

} // namespace

// Guards against an event that is missing in docs/events.md, and against an entry for an event that no longer exists.
Test(EventCatalogue, codeAndPageListTheSameEvents)
{
    auto code = eventsInCode();
    auto docs = eventsInDocs();
    cr_assert_gt(code.size(), 0);
    for (auto& [number, name] : code)
        cr_expect(docs.count(number) && docs.at(number) == name, "event %d %s is missing in docs/events.md", number, name.c_str());
    for (auto& [number, name] : docs)
        cr_expect(code.count(number), "docs/events.md lists %d %s, which no Events.h defines", number, name.c_str());
}
