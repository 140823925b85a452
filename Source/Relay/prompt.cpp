// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Relay/prompt.h"

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/json.h"
#include "Base/text.h"
#include "Relay/promptparts.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace Yokepond::Relay {

namespace {

constexpr std::uint32_t bytesPerToken = 4; ///< assumed for the estimate of a prompt's length
/// Lengths in bytes of the prompt prefixes that are hashed. The longer the prefix that an engine has cached, the less prefill it
/// needs.
constexpr std::array<std::size_t, 4> prefixLengths = {256, 1024, 4096, 16384};

absl::Status invalid(std::string_view message)
{
    return Base::makeError(Base::ErrorKind::InvalidRequest, message);
}

/// Appends the text of a message's content, which is either a string or a list of parts of which some are text.
void appendContent(std::string &text, const nlohmann::json &content)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string &>();
        return;
    }
    for (const nlohmann::json &part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string()) {
            text += part["text"].get_ref<const std::string &>();
        }
    }
}

/// Returns the text of all messages and appends the hash of each to @p messageHashes.
absl::StatusOr<std::string> chatText(const nlohmann::json &body, std::vector<std::uint64_t> &messageHashes)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalid("messages: expected a list with at least one message");
    }
    std::string text;
    for (const nlohmann::json &message : *messages) {
        const bool valid
            = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content");
        if (!valid) {
            return invalid("messages: expected objects with role and content");
        }
        const std::size_t begin = text.size();
        text += message["role"].get_ref<const std::string &>();
        text += ':';
        appendContent(text, message["content"]);
        text += '\n';
        messageHashes.push_back(Base::hash64(std::string_view(text).substr(begin)));
    }
    return text;
}

absl::StatusOr<std::string> completionText(const nlohmann::json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return invalid("prompt: expected a string");
    }
    return prompt->get<std::string>();
}

std::vector<std::uint64_t> prefixHashes(std::string_view text)
{
    std::vector<std::uint64_t> hashes;
    for (const std::size_t length : prefixLengths) {
        if (text.size() >= length) {
            hashes.push_back(Base::hash64(text.substr(0, length)));
        }
    }
    return hashes;
}

} // namespace

absl::StatusOr<Prompt> parsePrompt(std::string_view body, bool chat)
{
    auto decoded = Base::decodeJson(body);
    if (!decoded.ok()) {
        return invalid(fmt::format("the body cannot be decoded: {}", Base::messageOf(decoded.status())));
    }
    if (!decoded->is_object()) {
        return invalid("the body is not a JSON object");
    }
    Prompt prompt;
    prompt.body = std::move(*decoded);
    const auto model = prompt.body.find("model");
    if (model != prompt.body.end() && !model->is_string()) {
        return invalid("model: expected a string");
    }
    const auto stream = prompt.body.find("stream");
    if (stream != prompt.body.end() && !stream->is_boolean()) {
        return invalid("stream: expected true or false");
    }
    std::vector<std::uint64_t> messageHashes;
    const absl::StatusOr<std::string> text = chat ? chatText(prompt.body, messageHashes) : completionText(prompt.body);
    if (!text.ok()) {
        return text.status();
    }
    prompt.model = model == prompt.body.end() ? std::string() : model->get<std::string>();
    prompt.stream = stream != prompt.body.end() && stream->get<bool>();
    prompt.tokens = static_cast<std::uint32_t>(text->size() / bytesPerToken) + 1;
    prompt.prefix = prefixHashes(*text);
    prompt.parts = sharedParts(std::move(messageHashes));
    return prompt;
}

} // namespace Yokepond::Relay
