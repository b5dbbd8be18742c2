#include "Json/TreeBuilder.h"

namespace Lavenderloft::Json {

namespace {

    // Removes the error code from a message of the parser and replaces all but printable ASCII characters, which a
    // log or a terminal may not accept.
    std::string sanitizeParserMessage(std::string text)
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
    return addScalar(Null {});
}

bool TreeBuilder::boolean(bool value)
{
    return addScalar(value);
}

bool TreeBuilder::number_integer(number_integer_t value)
{
    return addScalar(int64_t { value });
}

bool TreeBuilder::number_unsigned(number_unsigned_t value)
{
    return addScalar(uint64_t { value });
}

bool TreeBuilder::number_float(number_float_t value, const string_t&)
{
    return addScalar(double { value });
}

bool TreeBuilder::string(string_t& value)
{
    return addScalar(std::move(value));
}

bool TreeBuilder::binary(binary_t&)
{
    // Binary values exist only in formats such as CBOR.
    return false;
}

bool TreeBuilder::start_object(size_t)
{
    return openContainer(Object {});
}

bool TreeBuilder::start_array(size_t)
{
    return openContainer(Array {});
}

bool TreeBuilder::end_object()
{
    return closeContainer();
}

bool TreeBuilder::end_array()
{
    return closeContainer();
}

bool TreeBuilder::key(string_t& name)
{
    auto& frame = m_frames.back();
    auto start = tokenStart();
    markTokenEnd();
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
    m_file.addProblemAt(offset, ProblemKind::Unreadable, "", sanitizeParserMessage(error.what()),
        "write one JSON document in UTF-8");
    return false;
}

bool TreeBuilder::addScalar(decltype(Value::data) data)
{
    Value value { std::move(data), tokenStart() };
    markTokenEnd();
    if (!checkValueLimit())
        return false;
    addToParent(std::move(value));
    return true;
}

bool TreeBuilder::openContainer(decltype(Value::data) data)
{
    auto start = tokenStart();
    markTokenEnd();
    if (!checkValueLimit())
        return false;
    if (m_frames.size() == maxNesting) {
        m_file.addProblemAt(start, ProblemKind::Unreadable, "",
            "values are nested deeper than " + std::to_string(maxNesting) + " levels", "reduce the nesting");
        return false;
    }
    Frame frame;
    frame.value = { std::move(data), start };
    frame.pointer = m_frames.empty() ? "" : nextChildPointer();
    m_frames.push_back(std::move(frame));
    return true;
}

bool TreeBuilder::closeContainer()
{
    markTokenEnd();
    auto value = std::move(m_frames.back().value);
    m_frames.pop_back();
    addToParent(std::move(value));
    return true;
}

bool TreeBuilder::checkValueLimit()
{
    if (++m_valueCount <= maxValues)
        return true;
    m_file.addProblemAt(tokenStart(), ProblemKind::Unreadable, "",
        "the file contains more than " + std::to_string(maxValues) + " values", "reduce the number of values");
    return false;
}

void TreeBuilder::addToParent(Value value)
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

std::string TreeBuilder::nextChildPointer() const
{
    auto& parent = m_frames.back();
    if (auto* array = parent.value.asArray())
        return childPointer(parent.pointer, array->size());
    return childPointer(parent.pointer, parent.key);
}

// The SAX interface gives no positions. A token starts at the first byte after the end of the previous token that
// is neither white space, a separator nor part of a byte order mark. The parser reads one byte beyond a number, which
// is harmless because no value or key can start there.
size_t TreeBuilder::tokenStart() const
{
    auto start = m_bytes.find_first_not_of(" \t\r\n:,\xef\xbb\xbf", m_previousTokenEnd);
    return start == std::string_view::npos ? m_bytes.size() : start;
}

} // namespace Lavenderloft::Json
