#pragma once

// Replicas that a certain request crashes, and the count of its runs.

#include "Harness.h"

namespace Review {

inline const std::string poisonBody = "instrument=ukulele;note=%00%ff";

// Runs of the request that crashes its replica.
class PoisonRuns {
public:
    struct Run {
        double at;
        std::string replica;
        std::string requestId;
    };

    void add(const std::string& replica, const std::string& requestId)
    {
        std::lock_guard guard(m_lock);
        m_runs.push_back({ secondsNow(), replica, requestId });
        RECORD("replica %s: runs id %s and crashes (crash %zu)", replica.c_str(), requestId.c_str(), m_runs.size());
    }

    std::vector<Run> all()
    {
        std::lock_guard guard(m_lock);
        return m_runs;
    }

private:
    std::mutex m_lock;
    std::vector<Run> m_runs;
};

// Makes a replica that crashes when it runs the request. It is back after `downTime`, under the id that it had or under a new
// one.
inline Replica::Handler crashingReplica(PoisonRuns& runs, std::chrono::milliseconds downTime, bool keepsId)
{
    return [&runs, downTime, keepsId](Replica& replica, int socket, const Message& request) {
        static std::atomic<unsigned> starts { 0 };
        if (request.target == "/healthz")
            return Replica::answer(socket, request, 200, "ok", "Lavenderloft-Instance-Id: " + replica.id() + "\r\n");
        if (request.body == poisonBody) {
            runs.add(replica.id(), request.header("Lavenderloft-Request-Id"));
            replica.crash(downTime, keepsId ? std::string() : "i-9e" + std::to_string(100 + ++starts));
            std::this_thread::sleep_for(200ms);
            return false;
        }
        std::this_thread::sleep_for(150ms);
        return Replica::answer(socket, request, 200, "booked");
    };
}

// Sends ordinary requests to the routers in turn until the program ends. Counts those that were served.
class OrdinaryTraffic {
public:
    OrdinaryTraffic(std::vector<std::string> routers, std::string method, std::string host, std::string path, std::chrono::milliseconds interval)
    {
        std::thread([=, this] {
            for (unsigned i = 0;; ++i) {
                std::this_thread::sleep_for(interval);
                std::thread([=, this] {
                    auto id = newRequestId();
                    auto response = attempt(routers[i % routers.size()], method, host, path, id, "instrument=" + std::to_string(i), 1500);
                    ++sent;
                    served += response && response->status == 200;
                }).detach();
            }
        }).detach();
    }

    std::atomic<unsigned> sent { 0 };
    std::atomic<unsigned> served { 0 };
};

} // namespace Review
