#include "Json/BoundedParser.h"
#include "Json/Splitter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Json;

namespace {

std::string nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

DocumentErrorKind errorKind(std::string_view text, const DocumentLimits& limits = {})
{
    auto document = parseBounded(text, limits);
    cr_assert_not(Base::succeeded(document));
    return Base::errorOf(document).kind;
}

} // namespace

// Guards against a parser that differs from the library's in what it accepts.
Test(BoundedParser, readsWhatTheLibraryReads)
{
    for (auto* text : { R"({"a":[1,-2,3.5,true,false,null,"x\u00e4",{"b":[[],{}]}],"c":{"a":1,"a":2}})", "[]", "{}", "7", "\"\"", " [ 1 , 2 ] ", "18446744073709551615" }) {
        auto document = parseBounded(text);
        cr_assert(Base::succeeded(document), "%s", text);
        cr_assert(Base::valueOf(document) == nlohmann::json::parse(text), "%s", text);
    }
    for (auto* text : { "", "[", "]", "{", "{\"a\"}", "[1,]", "[1]]", "1e999", "NaN", "\"\xff\"", R"("\ud800")" })
        cr_assert(errorKind(text) == DocumentErrorKind::Malformed, "%s", text);
    cr_assert(errorKind(std::string_view("{}\0{}", 5)) == DocumentErrorKind::Malformed);
}

// Guards against limits that are off by one.
Test(BoundedParser, stopsBeyondItsLimits)
{
    const DocumentLimits limits { 8, 20 };
    cr_assert(Base::succeeded(parseBounded(nested(8), limits)));
    cr_assert(errorKind(nested(9), limits) == DocumentErrorKind::TooDeep);
    cr_assert(errorKind(std::string(1000000, '['), limits) == DocumentErrorKind::TooDeep);
    auto numbers = [](size_t count) {
        std::string text = "[0";
        while (--count)
            text += ",0";
        return text + "]";
    };
    cr_assert(Base::succeeded(parseBounded(numbers(19), limits)));
    cr_assert(errorKind(numbers(20), limits) == DocumentErrorKind::TooManyValues);
}

// Guards against an error message as long as the document.
Test(BoundedParser, keepsMessagesShortAndPrintable)
{
    auto document = parseBounded("\"" + std::string(100000, 'x') + "\n\"");
    auto& message = Base::errorOf(document).message;
    cr_assert_leq(message.size(), 200);
    for (auto c : message)
        cr_assert(c >= 0x20 && c <= 0x7e);
}

// Guards against parts that end at a bracket or comma inside a string, or inside a nested value.
Test(Splitter, findsTheEndOfEachPart)
{
    auto members = splitObject(R"( { "a" : [1,{"b":"]},\""}] , "c\"," : "}" ,"d":1e999} )");
    cr_assert(members && members->size() == 3);
    cr_assert((*members)[0].name == "\"a\"" && (*members)[0].value == R"([1,{"b":"]},\""}])");
    cr_assert((*members)[1].name == R"("c\",")" && (*members)[1].value == "\"}\"");
    cr_assert((*members)[2].value == "1e999");
    auto elements = splitArray(R"([ [[]] ,{}, "\\" ,7 ])");
    cr_assert(elements && elements->size() == 4);
    cr_assert((*elements)[0] == "[[]]" && (*elements)[2] == R"("\\")" && (*elements)[3] == "7");
    cr_assert(splitArray("[]")->empty() && splitObject("{ }")->empty());
}

// Guards against a text that was cut off and is taken for a whole one.
Test(Splitter, refusesIncompleteText)
{
    for (auto* text : { "", " ", "[", "[1", "[1,", "[1,]", "[,1]", "[]]", "[1}", "[\"]", "[\"\\", "[{]", "{}" })
        cr_assert_not(splitArray(text).has_value(), "%s", text);
    for (auto* text : { "", "{", "{\"", "{\"a\"", "{\"a\":", "{\"a\":}", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}", "{a:1}", "{\"a\":1}}", "{\"a\":1]", "[]" })
        cr_assert_not(splitObject(text).has_value(), "%s", text);
    cr_assert(splitArray("[" + nested(1000000) + "]").has_value());
    cr_assert_not(splitArray(std::string(1000000, '[')).has_value());
}
