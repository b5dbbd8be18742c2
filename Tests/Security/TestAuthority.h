#pragma once

#include "Settings/ProcessSettings.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>

namespace Lavenderloft::Testing {

// A certificate and its private key in PEM format.
struct Identity {
    std::string certificate;
    std::string key;
};

// A certificate authority whose key is generated for each test, so that no private key is committed.
class TestAuthority {
public:
    explicit TestAuthority(const std::string& name);
    ~TestAuthority();

    const std::string& certificate() const;

    // Issues a certificate that is valid from one hour ago until `validFor` from now, with an extended key usage if
    // `usage` is not empty.
    Identity issue(std::chrono::seconds validFor = std::chrono::hours(1), const std::string& usage = {}) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// A temporary directory for the certificate, key and authority files of one process.
class TlsDirectory {
public:
    TlsDirectory();
    ~TlsDirectory();
    TlsDirectory(const TlsDirectory&) = delete;
    TlsDirectory& operator=(const TlsDirectory&) = delete;

    // Replaces each file atomically.
    void write(const Identity&, const std::string& authorities) const;
    void write(const std::string& name, const std::string& bytes) const;

    // Settings with the paths of the files and a reload interval of 1 s.
    Settings::TlsSettings settings() const;

    std::string path(const std::string& name) const { return (m_path / name).string(); }

private:
    std::filesystem::path m_path;
};

} // namespace Lavenderloft::Testing
