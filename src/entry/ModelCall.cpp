// Parses and validates model calls with Boost.JSON, and computes the digests of prompt prefixes.
#include "entry/ModelCall.h"

#include "base/Hash.h"

#include <algorithm>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace tray {

namespace {

namespace json = boost::json;

/// Computes the digests of growing prefixes from the parts of a prompt.
class PrefixCollector
{
public:
    PrefixCollector(ModelCall &call, const ModelCallLimits &limits) : call(call), limits(limits) {}

    void add(std::string_view part)
    {
        this->bytes += part.size();
        if (this->call.prefixDigests.size() >= this->limits.maxPrefixes)
            return;
        // Each digest includes the previous one, so that equal digests mean equal prefixes and not
        // only equal parts.
        this->chain = hash64(part, this->chain);
        this->call.prefixDigests.push_back(this->chain);
        this->call.prefixTokens.push_back(estimateTokens(this->bytes));
    }

    void addText(std::string_view text)
    {
        while (!text.empty() && this->call.prefixDigests.size() < this->limits.maxPrefixes) {
            const auto block = text.substr(0, this->limits.prefixBlockBytes);
            this->add(block);
            text.remove_prefix(block.size());
        }
        this->bytes += text.size();
    }

    size_t totalBytes() const { return this->bytes; }

private:
    ModelCall &call;
    const ModelCallLimits &limits;
    uint64_t chain = 1;
    size_t bytes = 0;
};

/// Adds a message's role and its content, which is a text or a list of parts with texts.
bool addMessage(const json::value &message, PrefixCollector &prefixes)
{
    const auto *object = message.if_object();
    if (object == nullptr)
        return false;
    const auto *role = object->if_contains("role");
    const auto *content = object->if_contains("content");
    if (role == nullptr || !role->is_string())
        return false;
    std::string text(role->get_string());
    text += '\n';
    if (content != nullptr && content->is_string()) {
        text += content->get_string();
    } else if (content != nullptr && content->is_array()) {
        for (const auto &part : content->get_array()) {
            const auto *fields = part.if_object();
            const auto *partText = fields != nullptr ? fields->if_contains("text") : nullptr;
            if (partText != nullptr && partText->is_string())
                text += partText->get_string();
        }
    } else if (content != nullptr && !content->is_null()) {
        return false;
    }
    prefixes.add(text);
    return true;
}

bool addMessages(const json::object &object, PrefixCollector &prefixes)
{
    const auto *messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return false;
    return std::all_of(messages->get_array().begin(), messages->get_array().end(),
                       [&](const json::value &message) { return addMessage(message, prefixes); });
}

bool addPrompt(const json::object &object, PrefixCollector &prefixes)
{
    const auto *prompt = object.if_contains("prompt");
    if (prompt == nullptr)
        return false;
    if (prompt->is_string()) {
        prefixes.addText(prompt->get_string());
        return true;
    }
    if (!prompt->is_array() || prompt->get_array().empty())
        return false;
    for (const auto &part : prompt->get_array()) {
        if (!part.is_string())
            return false;
        prefixes.addText(part.get_string());
    }
    return true;
}

bool readFlag(const json::object &object, std::string_view name, bool &flag)
{
    const auto *found = object.if_contains(name);
    if (found == nullptr || found->is_null())
        return true;
    if (!found->is_bool())
        return false;
    flag = found->get_bool();
    return true;
}

bool readTokens(const json::object &object, std::string_view name, uint32_t max, uint32_t &tokens)
{
    const auto *found = object.if_contains(name);
    if (found == nullptr || found->is_null())
        return true;
    if (!found->is_int64() || found->get_int64() < 1 || found->get_int64() > max)
        return false;
    tokens = static_cast<uint32_t>(found->get_int64());
    return true;
}

bool readModel(const json::object &object, ModelCall &call)
{
    const auto *model = object.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty())
        return false;
    const std::string_view name = model->get_string();
    const auto colon = name.find(':');
    call.model = name.substr(0, colon);
    if (colon != std::string_view::npos)
        call.adapter = name.substr(colon + 1);
    return !call.model.empty() && (colon == std::string_view::npos || !call.adapter.empty());
}

} // namespace

Result<ModelCall> parseModelCall(std::string_view body, bool isChat, const ModelCallLimits &limits,
                                 std::string *parameter)
{
    const auto fail = [&](std::string_view field, std::string message) {
        if (parameter != nullptr)
            *parameter = field;
        return Error{ErrorKind::BadRequest, std::move(message)};
    };
    // Most bodies fit into the stack buffer, so that parsing needs no heap allocation.
    std::array<unsigned char, 8192> buffer;
    json::monotonic_resource memory(buffer.data(), buffer.size());
    json::error_code code;
    const auto document = json::parse(body, code, &memory);
    if (code)
        return fail("", "the body is not valid JSON: " + code.message());
    const auto *object = document.if_object();
    if (object == nullptr)
        return fail("", "the body must be a JSON object");
    ModelCall call;
    call.maxTokens = limits.defaultMaxTokens;
    if (!readModel(*object, call))
        return fail("model", "model must be \"model\" or \"model:adapter\"");
    if (!readFlag(*object, "stream", call.stream))
        return fail("stream", "stream must be true or false");
    if (!readTokens(*object, "max_tokens", limits.maxTokens, call.maxTokens))
        return fail("max_tokens", "max_tokens must be a whole number from 1 to " +
                                      std::to_string(limits.maxTokens));
    if (!readTokens(*object, "max_completion_tokens", limits.maxTokens, call.maxTokens))
        return fail("max_completion_tokens",
                    "max_completion_tokens must be a whole number from 1 to " +
                        std::to_string(limits.maxTokens));
    PrefixCollector prefixes(call, limits);
    if (isChat && !addMessages(*object, prefixes))
        return fail("messages", "messages must be a list of objects with role and content");
    if (!isChat && !addPrompt(*object, prefixes))
        return fail("prompt", "prompt must be a text or a list of texts");
    call.promptTokens = estimateTokens(prefixes.totalBytes());
    return call;
}

} // namespace tray
