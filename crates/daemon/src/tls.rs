/*!
TLS towards callers: the certificate of the listeners, and handshakes with a deadline.

An entry serves TLS 1.2 and 1.3 with `--tls-cert-file` and `--tls-key-file`. A certificate that is replaced holds for
handshakes that begin afterwards; connections that stand go on. Early data (0-RTT) is not accepted, because it can be
replayed and a non-idempotent request runs at most once.
*/

use std::{io, path::Path, sync::Arc, time::Duration};

use prometheus_client::metrics::{counter::Counter, family::Family};
use rustls::{
    ServerConfig,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{TlsAcceptor, server::TlsStream};

use crate::{
    limited,
    metrics::HandshakeLabels,
    reload::{FileError, Reloadable},
};

/// The flag of the certificate chain.
pub const CERT_FLAG: &str = "tls-cert-file";
/// The flag of the private key.
pub const KEY_FLAG: &str = "tls-key-file";

/// How long a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the certificate chain and its private key, and again whenever the files change.
///
/// # Errors
///
/// Fails with the flag and the remedy if a file cannot be read, or the two do not match.
pub fn certificate(cert_file: &Path, key_file: &Path) -> Result<Reloadable<ServerConfig>, FileError> {
    Reloadable::from_files([(CERT_FLAG, cert_file), (KEY_FLAG, key_file)], server_config, None)
}

fn server_config([cert_pem, key_pem]: [&str; 2]) -> Result<ServerConfig, FileError> {
    let no_certificate = || FileError::wrong(CERT_FLAG, &"give the certificate chain as PEM, the server's own first");
    let chain: Vec<_> =
        CertificateDer::pem_slice_iter(cert_pem.as_bytes()).collect::<Result<_, _>>().map_err(|_| no_certificate())?;
    if chain.is_empty() {
        return Err(no_certificate());
    }
    let key = PrivateKeyDer::from_pem_slice(key_pem.as_bytes())
        .map_err(|_| FileError::wrong(KEY_FLAG, &"give the private key as PEM, without a password"))?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|error| unusable(&error))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(config)
}

fn unusable(error: &rustls::Error) -> FileError {
    match error {
        rustls::Error::InconsistentKeys(_) => FileError::wrong(
            KEY_FLAG,
            &format!("the key does not belong to the first certificate of --{CERT_FLAG}; give both files of one pair"),
        ),
        rustls::Error::InvalidCertificate(reason) => {
            FileError::wrong(CERT_FLAG, &format!("its first certificate cannot be used ({reason}); issue a new one"))
        }
        other => FileError::wrong(
            KEY_FLAG,
            &format!("the pair cannot be used ({other}); use an RSA, ECDSA (P-256, P-384) or Ed25519 key"),
        ),
    }
}

/// Does the handshakes of one listener.
#[derive(Debug, Clone)]
pub struct Handshaker {
    certificate: Reloadable<ServerConfig>,
    listener: &'static str,
    failures: Family<HandshakeLabels, Counter>,
}

impl Handshaker {
    /// Handshakes of a listener with this certificate.
    pub fn new(
        certificate: Reloadable<ServerConfig>,
        listener: &'static str,
        failures: Family<HandshakeLabels, Counter>,
    ) -> Self {
        Self { certificate, listener, failures }
    }

    /// Does the handshake on an accepted connection with the certificate in force. A failure is counted and logged.
    pub async fn handshake<I>(&self, stream: I) -> Option<TlsStream<I>>
    where
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let handshake = TlsAcceptor::from(self.certificate.get()).accept(stream);
        let error = match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        self.failed(error.as_ref());
        None
    }

    /// `error` is `None` at the deadline.
    fn failed(&self, error: Option<&io::Error>) {
        let reason = match error {
            None => "timeout",
            Some(error) if error.kind() == io::ErrorKind::InvalidData => "protocol",
            Some(_) => "closed",
        };
        self.failures.get_or_create(&HandshakeLabels { listener: self.listener, reason }).inc();
        match error {
            None => limited!(Warn, "http: a TLS handshake on the {} listener took too long.", self.listener),
            // The probes of a balancer that only connect end like this.
            Some(error) if reason == "closed" => {
                limited!(
                    Debug,
                    "http: the peer closed during a TLS handshake on the {} listener: {error}",
                    self.listener
                );
            }
            Some(error) => limited!(Warn, "http: a TLS handshake on the {} listener failed: {error}", self.listener),
        }
    }
}
