#include "Json/TreeBuilder.h"

namespace Lavenderloft::Json {

namespace {

    // The parser's text without its error code and with bytes outside ASCII replaced, since a log
    // line or a terminal may not take them.
    std::string readableMessage(std::string text)
    {
        auto end = text.find("] ");
        if (text.starts_with('[') && end != std::string::npos)
            text.erase(0, end + 2);
        for (auto& c : text) {
            if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e)
                c = '?';
        }
        return text;
    }

} // namespace

TreeBuilder::TreeBuilder(std::string_view bytes, const size_t& consumed, ParsedFile& file, Value& root)
    : m_bytes(bytes)
    , m_consumed(consumed)
    , m_file(file)
    , m_root(root)
{
}

bool TreeBuilder::null()
{
    return scalar(Null {});
}

bool TreeBuilder::boolean(bool value)
{
    return scalar(value);
}

bool TreeBuilder::number_integer(number_integer_t value)
{
    return scalar(int64_t { value });
}

bool TreeBuilder::number_unsigned(number_unsigned_t value)
{
    return scalar(uint64_t { value });
}

bool TreeBuilder::number_float(number_float_t value, const string_t&)
{
    return scalar(double { value });
}

bool TreeBuilder::string(string_t& value)
{
    return scalar(std::move(value));
}

bool TreeBuilder::binary(binary_t&)
{
    // Only binary formats have such values.
    return false;
}

bool TreeBuilder::start_object(size_t)
{
    return open(Object {});
}

bool TreeBuilder::start_array(size_t)
{
    return open(Array {});
}

bool TreeBuilder::end_object()
{
    return close();
}

bool TreeBuilder::end_array()
{
    return close();
}

bool TreeBuilder::key(string_t& name)
{
    auto& frame = m_frames.back();
    auto start = startOfToken();
    endToken();
    frame.key = name;
    frame.isKeyDuplicate = !frame.keys.insert(name).second;
    if (frame.isKeyDuplicate) {
        m_file.addProblemAt(start, ProblemKind::DuplicateKey, childPointer(frame.pointer, name),
            "the key occurs more than once in one object", "remove all but one");
    }
    return true;
}

bool TreeBuilder::parse_error(size_t position, const std::string&, const nlohmann::detail::exception& error)
{
    auto offset = position ? position - 1 : 0;
    m_file.addProblemAt(offset, ProblemKind::Unreadable, "", readableMessage(error.what()),
        "write the file as one JSON document in UTF-8");
    return false;
}

bool TreeBuilder::scalar(decltype(Value::data) data)
{
    Value value { std::move(data), startOfToken() };
    endToken();
    if (!countValue())
        return false;
    attach(std::move(value));
    return true;
}

bool TreeBuilder::open(decltype(Value::data) data)
{
    auto start = startOfToken();
    endToken();
    if (!countValue())
        return false;
    if (m_frames.size() == maxNesting) {
        m_file.addProblemAt(start, ProblemKind::Unreadable, "",
            "values are nested deeper than " + std::to_string(maxNesting) + " levels", "remove the surplus levels");
        return false;
    }
    Frame frame;
    frame.value = { std::move(data), start };
    frame.pointer = m_frames.empty() ? "" : nextPointer();
    m_frames.push_back(std::move(frame));
    return true;
}

bool TreeBuilder::close()
{
    endToken();
    auto value = std::move(m_frames.back().value);
    m_frames.pop_back();
    attach(std::move(value));
    return true;
}

bool TreeBuilder::countValue()
{
    if (++m_valueCount <= maxValues)
        return true;
    m_file.addProblemAt(startOfToken(), ProblemKind::Unreadable, "",
        "the file holds more than " + std::to_string(maxValues) + " values", "remove the surplus values");
    return false;
}

void TreeBuilder::attach(Value value)
{
    if (m_frames.empty()) {
        m_root = std::move(value);
        return;
    }
    auto& parent = m_frames.back();
    if (auto* array = std::get_if<Array>(&parent.value.data))
        array->push_back(std::move(value));
    else if (!parent.isKeyDuplicate)
        std::get<Object>(parent.value.data).push_back({ std::move(parent.key), std::move(value) });
}

std::string TreeBuilder::nextPointer() const
{
    auto& parent = m_frames.back();
    if (auto* array = parent.value.asArray())
        return childPointer(parent.pointer, array->size());
    return childPointer(parent.pointer, parent.key);
}

// The parser tells no position of a value. A token starts where the one before it ended, after
// blanks and separators; the end of a number includes the byte after it, which never starts a token.
size_t TreeBuilder::startOfToken() const
{
    auto start = m_bytes.find_first_not_of(" \t\r\n:,\xef\xbb\xbf", m_endOfPreviousToken);
    return start == std::string_view::npos ? m_bytes.size() : start;
}

} // namespace Lavenderloft::Json
