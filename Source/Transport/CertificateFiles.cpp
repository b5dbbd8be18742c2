#include "Transport/CertificateFiles.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>
#include <optional>
#include <vector>

namespace Lavenderloft::Transport {

namespace {

    template <auto freeFunction>
    struct Deleter {
        template <typename Object>
        void operator()(Object* object) const { freeFunction(object); }
    };

    using Bio = std::unique_ptr<BIO, Deleter<BIO_free>>;
    using Certificate = std::unique_ptr<X509, Deleter<X509_free>>;
    using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
    using Store = std::unique_ptr<X509_STORE, Deleter<X509_STORE_free>>;
    using StoreContext = std::unique_ptr<X509_STORE_CTX, Deleter<X509_STORE_CTX_free>>;
    using Chain = std::vector<Certificate>;
    using CheckResult = Base::Result<Base::Done, CredentialsError>;

    CredentialsError unreadable(const char* setting, const std::string& path, const std::string& content)
    {
        ERR_clear_error();
        return { CredentialsErrorKind::UnreadableFile, std::string("setting \"tls.") + setting + "\": " + path + " cannot be read as " + content,
            "name a PEM file that this process has permission to read" };
    }

    CredentialsError unusable(const Settings::TlsSettings& settings, const std::string& reason, const std::string& remedy)
    {
        ERR_clear_error();
        return { CredentialsErrorKind::UnusableCertificate, "setting \"tls.certificateFile\": " + settings.certificateFile + ": " + reason, remedy };
    }

    // OpenSSL's default callback prompts for the passphrase on the terminal.
    int refusePassphrase(char*, int, int, void*)
    {
        return -1;
    }

    Chain readCertificates(const std::string& path)
    {
        Chain chain;
        Bio file(BIO_new_file(path.c_str(), "r"));
        while (file) {
            Certificate certificate(PEM_read_bio_X509(file.get(), nullptr, refusePassphrase, nullptr));
            if (!certificate)
                break;
            chain.push_back(std::move(certificate));
        }
        // OpenSSL queues an error at the end of the file.
        ERR_clear_error();
        return chain;
    }

    Key readKey(const std::string& path)
    {
        Bio file(BIO_new_file(path.c_str(), "r"));
        if (!file)
            return nullptr;
        return Key(PEM_read_bio_PrivateKey(file.get(), nullptr, refusePassphrase, nullptr));
    }

    // The verification error of the chain for the purpose, or std::nullopt if the chain is valid.
    std::optional<std::string> verifyChain(const Chain& chain, X509_STORE* store, int purpose)
    {
        std::unique_ptr<STACK_OF(X509), void (*)(STACK_OF(X509)*)> intermediates(sk_X509_new_null(), [](STACK_OF(X509) * stack) { sk_X509_free(stack); });
        for (size_t i = 1; i < chain.size(); ++i)
            sk_X509_push(intermediates.get(), chain[i].get());
        StoreContext context(X509_STORE_CTX_new());
        X509_STORE_CTX_init(context.get(), store, chain.front().get(), intermediates.get());
        X509_STORE_CTX_set_purpose(context.get(), purpose);
        if (X509_verify_cert(context.get()) == 1)
            return std::nullopt;
        return X509_verify_cert_error_string(X509_STORE_CTX_get_error(context.get()));
    }

    CheckResult checkChain(const Settings::TlsSettings& settings, const Chain& chain, const Chain& authorities)
    {
        Store store(X509_STORE_new());
        for (auto& authority : authorities)
            X509_STORE_add_cert(store.get(), authority.get());
        for (int purpose : { X509_PURPOSE_SSL_SERVER, X509_PURPOSE_SSL_CLIENT }) {
            if (auto error = verifyChain(chain, store.get(), purpose)) {
                return unusable(settings, *error, "use a certificate that is currently valid, is signed by an authority in " + settings.authorityFile + " and is allowed for TLS servers and clients");
            }
        }
        return Base::Done {};
    }

} // namespace

Base::Result<Base::Done, CredentialsError> checkCertificateFiles(const Settings::TlsSettings& settings)
{
    auto chain = readCertificates(settings.certificateFile);
    if (chain.empty())
        return unreadable("certificateFile", settings.certificateFile, "a certificate");
    auto authorities = readCertificates(settings.authorityFile);
    if (authorities.empty())
        return unreadable("authorityFile", settings.authorityFile, "certificates");
    auto key = readKey(settings.keyFile);
    if (!key)
        return unreadable("keyFile", settings.keyFile, "a private key without a passphrase");
    if (X509_check_private_key(chain.front().get(), key.get()) != 1)
        return unusable(settings, "the private key in " + settings.keyFile + " belongs to another certificate", "set \"tls.keyFile\" to the private key of this certificate");
    return checkChain(settings, chain, authorities);
}

} // namespace Lavenderloft::Transport
