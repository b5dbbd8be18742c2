#pragma once

#include "Settings/ProcessSettings.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>

namespace Lavenderloft::Testing {

// A private key and its certificate, as PEM.
struct Identity {
    std::string certificate;
    std::string key;
};

// An authority that lives for one test; nothing secret is committed.
class TestAuthority {
public:
    explicit TestAuthority(const std::string& name);
    ~TestAuthority();

    const std::string& certificate() const;

    // A certificate that is valid from an hour before now until this long after now, with an extended key usage
    // if that is not empty.
    Identity issue(std::chrono::seconds validFor = std::chrono::hours(1), const std::string& usage = {}) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// The three files of one process, in a folder that is removed at the end.
class TlsFolder {
public:
    TlsFolder();
    ~TlsFolder();
    TlsFolder(const TlsFolder&) = delete;
    TlsFolder& operator=(const TlsFolder&) = delete;

    // Replaces files in one step each.
    void write(const Identity&, const std::string& authorities) const;
    void write(const std::string& name, const std::string& bytes) const;

    // Settings that name the files and read them again each second.
    Settings::TlsSettings settings() const;

    std::string path(const std::string& name) const { return (m_path / name).string(); }

private:
    std::filesystem::path m_path;
};

} // namespace Lavenderloft::Testing
