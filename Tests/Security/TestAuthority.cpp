#include "Security/TestAuthority.h"

#include <cstdlib>
#include <fstream>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>
#include <type_traits>

namespace Lavenderloft::Testing {

namespace {

    template <auto freeFunction>
    using Deleter = std::integral_constant<decltype(freeFunction), freeFunction>;

    using Key = std::unique_ptr<EVP_PKEY, Deleter<&EVP_PKEY_free>>;
    using Certificate = std::unique_ptr<X509, Deleter<&X509_free>>;
    using Bio = std::unique_ptr<BIO, Deleter<&BIO_free>>;

    void require(bool done, const char* what)
    {
        if (!done)
            throw std::runtime_error(std::string("failed to ") + what);
    }

    std::string takeText(BIO* bio)
    {
        char* data = nullptr;
        auto size = BIO_get_mem_data(bio, &data);
        return { data, static_cast<size_t>(size) };
    }

    std::string toPem(X509* certificate)
    {
        Bio bio(BIO_new(BIO_s_mem()));
        require(PEM_write_bio_X509(bio.get(), certificate) == 1, "write certificate");
        return takeText(bio.get());
    }

    std::string toPem(EVP_PKEY* key)
    {
        Bio bio(BIO_new(BIO_s_mem()));
        require(PEM_write_bio_PrivateKey(bio.get(), key, nullptr, nullptr, 0, nullptr, nullptr) == 1, "write key");
        return takeText(bio.get());
    }

    void addExtension(X509* certificate, int kind, const std::string& value)
    {
        std::unique_ptr<X509_EXTENSION, Deleter<&X509_EXTENSION_free>> extension(X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str()));
        require(extension && X509_add_ext(certificate, extension.get(), -1) == 1, "add extension");
    }

    Certificate makeUnsigned(EVP_PKEY* key, const std::string& name, long serial, std::chrono::seconds validFor)
    {
        Certificate certificate(X509_new());
        X509_set_version(certificate.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), static_cast<long>(validFor.count()));
        X509_set_pubkey(certificate.get(), key);
        auto* subject = X509_get_subject_name(certificate.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        return certificate;
    }

} // namespace

struct TestAuthority::State {
    Key key;
    Certificate certificate;
    std::string pem;
    mutable long lastSerial = 1;
};

TestAuthority::TestAuthority(const std::string& name)
    : m_state(std::make_unique<State>())
{
    m_state->key.reset(EVP_EC_gen("P-256"));
    m_state->certificate = makeUnsigned(m_state->key.get(), name, m_state->lastSerial, std::chrono::hours(1));
    auto* certificate = m_state->certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    addExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    require(X509_sign(certificate, m_state->key.get(), EVP_sha256()) > 0, "sign authority");
    m_state->pem = toPem(certificate);
}

TestAuthority::~TestAuthority() = default;

const std::string& TestAuthority::certificate() const
{
    return m_state->pem;
}

Identity TestAuthority::issue(std::chrono::seconds validFor, const std::string& usage) const
{
    Key key(EVP_EC_gen("P-256"));
    auto certificate = makeUnsigned(key.get(), "process", ++m_state->lastSerial, validFor);
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(m_state->certificate.get()));
    if (!usage.empty())
        addExtension(certificate.get(), NID_ext_key_usage, usage);
    require(X509_sign(certificate.get(), m_state->key.get(), EVP_sha256()) > 0, "sign certificate");
    return { toPem(certificate.get()), toPem(key.get()) };
}

TlsDirectory::TlsDirectory()
{
    auto pattern = (std::filesystem::temp_directory_path() / "lavenderloft-tls-XXXXXX").string();
    require(mkdtemp(pattern.data()), "create temporary directory");
    m_path = pattern;
}

TlsDirectory::~TlsDirectory()
{
    std::filesystem::remove_all(m_path);
}

void TlsDirectory::write(const Identity& identity, const std::string& authorities) const
{
    write("authority.pem", authorities);
    write("key.pem", identity.key);
    write("certificate.pem", identity.certificate);
}

void TlsDirectory::write(const std::string& name, const std::string& bytes) const
{
    std::ofstream(m_path / "new", std::ios::binary) << bytes;
    std::filesystem::rename(m_path / "new", m_path / name);
}

Settings::TlsSettings TlsDirectory::settings() const
{
    return { path("certificate.pem"), path("key.pem"), path("authority.pem"), std::chrono::seconds(1) };
}

} // namespace Lavenderloft::Testing
