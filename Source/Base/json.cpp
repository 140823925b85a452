// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Base/json.h"

#include "Base/error.h"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Base {

namespace {

using Json = nlohmann::json;

/// Builds a value from the events of the parser, which calls the functions by these names. A function that returns false ends the
/// parsing.
class JsonBuilder
{
public:
    // NOLINTBEGIN(readability-identifier-naming): the parser's names
    bool null()
    {
        add(nullptr);
        return true;
    }

    bool boolean(bool value)
    {
        add(value);
        return true;
    }

    bool number_integer(Json::number_integer_t value)
    {
        add(value);
        return true;
    }

    bool number_unsigned(Json::number_unsigned_t value)
    {
        add(value);
        return true;
    }

    bool number_float(Json::number_float_t value, const std::string &)
    {
        add(value);
        return true;
    }

    bool string(std::string &value)
    {
        add(value);
        return true;
    }

    /// JSON texts have no binary values; the parser's interface requires the function.
    bool binary(Json::binary_t &)
    {
        return false;
    }

    bool start_object(std::size_t)
    {
        return open(Json::value_t::object);
    }

    bool start_array(std::size_t)
    {
        return open(Json::value_t::array);
    }

    bool key(std::string &name)
    {
        m_member = &m_open.back().container->get_ref<Json::object_t &>()[name];
        return true;
    }

    bool end_object()
    {
        m_open.pop_back();
        return true;
    }

    bool end_array()
    {
        m_open.pop_back();
        return true;
    }

    bool parse_error(std::size_t position, const std::string &, const Json::exception &error)
    {
        // The exception's message is not used: it may quote the text at any length.
        constexpr int numberOutOfRange = 406;
        m_position = position;
        m_reason = error.id == numberOutOfRange ? "a number is too large" : "the text is not valid JSON";
        return false;
    }

    // NOLINTEND(readability-identifier-naming)

    Json takeValue()
    {
        return std::move(m_value);
    }

    /// Returns why the parsing ended early, or nullptr if values are nested too deeply.
    const char *reason() const
    {
        return m_reason;
    }

    /// Returns the number of bytes read when an error of the text was found.
    std::size_t position() const
    {
        return m_position;
    }

private:
    struct Container
    {
        Json *container;
        bool isArray;
    };

    /// Adds a value to the innermost open container and returns its place.
    template<typename Value>
    Json *add(Value &&value)
    {
        if (m_open.empty()) {
            m_value = Json(std::forward<Value>(value));
            return &m_value;
        }
        if (m_open.back().isArray) {
            auto &elements = m_open.back().container->get_ref<Json::array_t &>();
            return &elements.emplace_back(std::forward<Value>(value));
        }
        *m_member = Json(std::forward<Value>(value));
        return m_member;
    }

    bool open(Json::value_t type)
    {
        if (m_open.size() == maxJsonDepth) {
            return false;
        }
        m_open.push_back({add(type), type == Json::value_t::array});
        return true;
    }

    Json m_value;
    std::vector<Container> m_open; ///< the containers that are not closed yet, the innermost last
    Json *m_member = nullptr; ///< place of the next value if the innermost container is an object
    std::size_t m_position = 0;
    const char *m_reason = nullptr;
};

/// Returns the number of bytes of @p text up to and including the bracket that opens the first level beyond maxJsonDepth. The
/// text before it is valid.
std::size_t positionOfExcess(std::string_view text)
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (quoted) {
            position += character == '\\' ? 1 : 0;
            quoted = character != '"';
        } else if (character == '"') {
            quoted = true;
        } else if (character == '[' || character == '{') {
            if (depth == maxJsonDepth) {
                return position + 1;
            }
            ++depth;
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return text.size();
}

} // namespace

absl::StatusOr<Json> decodeJson(std::string_view text)
{
    JsonBuilder builder;
    if (Json::sax_parse(text, &builder)) {
        return builder.takeValue();
    }
    if (builder.reason() == nullptr) {
        return makeError(ErrorKind::InvalidValue,
                         fmt::format("arrays and objects are nested more than {} levels deep, at byte {} of {}", maxJsonDepth,
                                     positionOfExcess(text), text.size()));
    }
    return makeError(ErrorKind::InvalidValue,
                     fmt::format("{}, at byte {} of {}", builder.reason(), builder.position(), text.size()));
}

Json decodeJsonOrDiscard(std::string_view text)
{
    JsonBuilder builder;
    return Json::sax_parse(text, &builder) ? builder.takeValue() : Json(Json::value_t::discarded);
}

} // namespace Yokepond::Base
