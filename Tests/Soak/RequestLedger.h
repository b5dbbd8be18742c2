#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Soak {

using SteadyClock = std::chrono::steady_clock;

enum class RequestKind {
    Idempotent,
    AtMostOnce,
    Stream,
};

// What callers sent and received and what targets ran, from which broken promises are concluded.
class RequestLedger {
public:
    // Records a request that a caller is about to send. Returns its id.
    std::string open(RequestKind kind)
    {
        auto id = "soak-" + std::to_string(m_requests.size());
        m_requests[id].kind = kind;
        return id;
    }

    // A target begins to run a request.
    void recordRun(const std::string& id, const std::string& body)
    {
        auto found = m_requests.find(id);
        if (found == m_requests.end() || body != bodyOf(id)) {
            addViolation("UNASKED", id + " was not sent by a caller, or with another body");
            return;
        }
        auto& request = found->second;
        if (++request.runs > 1 && request.kind == RequestKind::AtMostOnce)
            addViolation("TWICE", id + " ran again");
        if (request.isRefused)
            addViolation("REFUSED", id + " ran after it had been refused");
    }

    // A target is at work on a request.
    void recordWork(const std::string& id) { m_requests[id].lastWorkAt = SteadyClock::now(); }

    // A caller was told that its request was not run.
    void recordRefusal(const std::string& id, unsigned status)
    {
        auto& request = m_requests[id];
        request.isRefused = request.kind == RequestKind::AtMostOnce;
        if (request.isRefused && request.runs > 0)
            addViolation("REFUSED", id + " got " + std::to_string(status) + " and had run");
    }

    void recordEnd(const std::string& id, bool isServed)
    {
        m_requests[id].isServed = isServed;
        m_ends.push_back({ SteadyClock::now(), m_requests[id].kind, isServed });
    }

    bool hasRun(const std::string& id) const { return m_requests.at(id).runs > 0; }

    SteadyClock::time_point lastWorkAt(const std::string& id) const { return m_requests.at(id).lastWorkAt; }

    void addViolation(const std::string& rule, const std::string& text) { m_violations.push_back(rule + ": " + text); }
    const std::vector<std::string>& violations() const { return m_violations; }

    size_t requestCount() const { return m_requests.size(); }

    // Requests of one kind, or of all, that ended since the given time, and how many of them were served.
    std::pair<size_t, size_t> endsSince(SteadyClock::time_point time, std::optional<RequestKind> kind = {}) const
    {
        std::pair<size_t, size_t> counts { 0, 0 };
        for (auto& end : m_ends) {
            bool isCounted = end.time >= time && end.kind == kind.value_or(end.kind);
            counts.first += isCounted;
            counts.second += isCounted && end.isServed;
        }
        return counts;
    }

    static std::string bodyOf(const std::string& id) { return "body of " + id; }
    static std::string answerTo(const std::string& id) { return "answer to " + id; }

private:
    struct Request {
        RequestKind kind = RequestKind::Idempotent;
        unsigned runs = 0;
        bool isRefused = false;
        bool isServed = false;
        SteadyClock::time_point lastWorkAt;
    };

    struct End {
        SteadyClock::time_point time;
        RequestKind kind;
        bool isServed;
    };

    std::map<std::string, Request> m_requests;
    std::vector<End> m_ends;
    std::vector<std::string> m_violations;
};

} // namespace Lavenderloft::Soak
