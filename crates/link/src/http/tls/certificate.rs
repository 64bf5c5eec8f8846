//! Loading of a certificate and its private key from files.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use rustls::{
    Certificate, PrivateKey, ServerConfig, SignatureScheme,
    sign::{self, SigningKey},
};
use webpki::{EndEntityCert, SignatureAlgorithm};

use super::Error;

/// The files of a certificate chain and its private key, in PEM format.
#[derive(Clone, Debug)]
pub struct Files {
    certificate: PathBuf,
    private_key: PathBuf,
}

/// The contents of the files that can be read. They are compared instead of
/// modification times, which are too coarse to distinguish two quick changes.
pub(super) type Contents = [Option<Vec<u8>>; 2];

impl Files {
    /// Returns the files at these paths.
    pub fn new(certificate: impl Into<PathBuf>, private_key: impl Into<PathBuf>) -> Self {
        Self {
            certificate: certificate.into(),
            private_key: private_key.into(),
        }
    }

    /// Returns the contents of the files.
    pub(super) fn contents(&self) -> Contents {
        [&self.certificate, &self.private_key].map(|path| fs::read(path).ok())
    }

    /// Loads the certificate and the key.
    ///
    /// # Errors
    ///
    /// An [`Error`] when a file cannot be read, or the key does not belong to
    /// the certificate, for example while only one of the files is replaced.
    pub(super) fn read(&self) -> Result<Arc<ServerConfig>, Error> {
        let chain = read_items(&self.certificate, "certificate", |mut text| {
            rustls_pemfile::certs(&mut text)
        })?;
        let keys = read_items(&self.private_key, "key", |mut text| {
            let items = rustls_pemfile::read_all(&mut text)?;
            Ok(items.into_iter().filter_map(key_bytes).collect())
        })?;
        let private_key = PrivateKey(keys.into_iter().next().unwrap_or_default());
        let rejected = |problem: String| Error::Rejected {
            path: self.private_key.clone(),
            problem,
        };
        let signing =
            sign::any_supported_type(&private_key).map_err(|e| rejected(e.to_string()))?;
        check_pair(&chain[0], &*signing).map_err(rejected)?;
        let chain = chain.into_iter().map(Certificate).collect();
        let mut config = ServerConfig::builder()
            .with_safe_defaults()
            .with_no_client_auth()
            .with_single_cert(chain, private_key)
            .map_err(|e| rejected(e.to_string()))?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Arc::new(config))
    }
}

/// Reads the items of a file, of which there must be at least one.
fn read_items(
    path: &Path,
    kind: &'static str,
    parse: impl Fn(&[u8]) -> std::io::Result<Vec<Vec<u8>>>,
) -> Result<Vec<Vec<u8>>, Error> {
    let parsed = fs::read(path).and_then(|text| parse(&text));
    let items = parsed.map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    if items.is_empty() {
        let path = path.to_owned();
        return Err(Error::Empty { path, kind });
    }
    Ok(items)
}

fn key_bytes(item: rustls_pemfile::Item) -> Option<Vec<u8>> {
    use rustls_pemfile::Item::{ECKey, PKCS8Key, RSAKey};
    match item {
        PKCS8Key(private_key) | RSAKey(private_key) | ECKey(private_key) => Some(private_key),
        _ => None,
    }
}

/// The signature schemes with which a key is checked against its certificate.
const SCHEMES: [(SignatureScheme, &SignatureAlgorithm); 4] = [
    (
        SignatureScheme::ECDSA_NISTP256_SHA256,
        &webpki::ECDSA_P256_SHA256,
    ),
    (
        SignatureScheme::ECDSA_NISTP384_SHA384,
        &webpki::ECDSA_P384_SHA384,
    ),
    (SignatureScheme::ED25519, &webpki::ED25519),
    (
        SignatureScheme::RSA_PSS_SHA256,
        &webpki::RSA_PSS_2048_8192_SHA256_LEGACY_KEY,
    ),
];

/// Checks that `private_key` belongs to `certificate`. `rustls` does not check
/// it, and with a wrong pair every handshake would fail.
fn check_pair(certificate: &[u8], private_key: &dyn SigningKey) -> Result<(), String> {
    const PROBE: &[u8] = b"a key signs what its certificate verifies";
    let certificate = EndEntityCert::try_from(certificate).map_err(|e| e.to_string())?;
    let schemes = SCHEMES.map(|(scheme, _)| scheme);
    let signer = private_key.choose_scheme(&schemes);
    let signer = signer.ok_or("the type of the key is not supported")?;
    let signature = signer.sign(PROBE).map_err(|e| e.to_string())?;
    let algorithm = SCHEMES
        .iter()
        .find(|(scheme, _)| *scheme == signer.scheme())
        .map(|(_, algorithm)| *algorithm)
        .ok_or("the type of the key is not supported")?;
    let verified = certificate.verify_signature(algorithm, PROBE, &signature);
    verified.map_err(|_| "the key does not belong to the certificate".to_string())
}
