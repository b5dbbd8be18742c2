#include "Json/ParsedFile.h"
#include "DesiredState/Queries/ParseDocument.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using Json::ProblemKind;

namespace {

Json::Problem firstProblem(const std::string& bytes)
{
    auto result = DesiredState::Queries::parseDocument(bytes);
    cr_assert_not(Base::succeeded(result));
    return Base::errorOf(result).problems.front();
}

void expectUnreadable(const std::string& bytes, const std::string& message)
{
    auto problem = firstProblem(bytes);
    cr_assert(problem.kind == ProblemKind::Unreadable);
    auto text = problem.describe();
    cr_assert(text.find(message) != std::string::npos, "%s", text.c_str());
    bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
    cr_assert(isPrintable);
}

} // namespace

// Guards against a crash or a vague message on input that is not a JSON document.
Test(ParsedFile, rejectsUnreadableFiles)
{
    expectUnreadable("", "empty");
    expectUnreadable(" \n", "empty");
    expectUnreadable("{ \"revision\": 1", "syntax error");
    expectUnreadable("{ \"revision\": 1 } {", "syntax error");
    expectUnreadable("{ \"revision\": \"\xff\xfe\" }", "UTF-8");
    expectUnreadable(std::string("\xff\xfe{\0}\0", 6), "syntax error");
    expectUnreadable(std::string("{ \"a\0\": 1 }", 11), "syntax error");
    expectUnreadable("{ \"revision\": 1e999 }", "number overflow");
    expectUnreadable(std::string(10'000'000, '['), "10000000 bytes");
    expectUnreadable(std::string(900'000, '['), "nested deeper");
    expectUnreadable("[" + std::string(400'000, '1') + "," + std::string(400'000, '1') + "]", "number overflow");
    std::string manyValues = "[0";
    for (size_t i = 0; i < Json::maxValues; ++i)
        manyValues += ",0";
    expectUnreadable(manyValues + "]", "more than 100000 values");
}

// Guards against a top-level value other than an object being reported as a syntax error.
Test(ParsedFile, reportsTopLevelValuesOfWrongType)
{
    for (std::string bytes : { "null", "[]", "\"text\"", "12", "true" })
        cr_assert(firstProblem(bytes).kind == ProblemKind::WrongType, "%s", bytes.c_str());
}

// Guards against a list of problems that needs much more memory than the file, as with a key repeated 50,000 times.
Test(ParsedFile, limitsListOfProblems)
{
    std::string bytes = "{";
    for (int i = 0; i < 50000; ++i)
        bytes += "\"x\":1,";
    auto result = DesiredState::Queries::parseDocument(bytes + "\"x\":1}");
    auto& problems = Base::errorOf(result).problems;
    cr_assert_eq(problems.size(), Json::maxProblems + 1);
    cr_assert(problems.back().message.find("more problems") != std::string::npos);
    auto longKey = firstProblem("{ \"" + std::string(500'000, 'k') + "\": 1, \"" + std::string(500'000 - 100, 'k') + "\": 1 }");
    cr_assert_leq(longKey.describe().size(), 1000);
}

// Guards against wrong line or column numbers after a byte order mark, line breaks, escapes and numbers.
Test(ParsedFile, reportsPositions)
{
    std::string bytes = "\xef\xbb\xbf{\n  \"a\": [1,\n    -2 ,\"x\\n\"\n],\n \"b\"\n:{},\"a\":3}";
    Json::ParsedFile file(bytes);
    cr_assert(file.isReadable());
    for (std::string pointer : { "/a", "/a/0", "/a/1", "/a/2", "/b", "/b/missing", "" })
        file.addProblem(ProblemKind::Malformed, pointer, "m", "r");
    auto problems = file.takeProblems().problems;
    cr_assert_eq(problems.size(), 8);
    auto isAt = [&](size_t index, size_t line, size_t column) { return problems[index].position == Json::Position { line, column }; };
    cr_assert(problems[0].kind == ProblemKind::DuplicateKey && isAt(0, 6, 5));
    cr_assert(isAt(1, 2, 8));
    cr_assert(isAt(2, 2, 9));
    cr_assert(isAt(3, 3, 5));
    cr_assert(isAt(4, 3, 9));
    cr_assert(isAt(5, 6, 2));
    cr_assert(isAt(6, 6, 2));
}

// Guards against log injection by line breaks or terminal escape sequences in a key.
Test(ParsedFile, replacesControlCharactersInKeys)
{
    auto problem = firstProblem("{ \"a\\nLL1001 forged\\u001b[2J\": 1, \"a\\nLL1001 forged\\u001b[2J\": 1 }");
    cr_assert(problem.describe().find('\n') == std::string::npos && problem.describe().find('\x1b') == std::string::npos);
}
