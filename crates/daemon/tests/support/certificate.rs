//! Certificates for tests, and connections that trust them.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use rustls::{ClientConfig, RootCertStore, crypto::ring, pki_types::ServerName};
use tokio::net::TcpStream;
use tokio_rustls::{TlsConnector, client::TlsStream};

/// A self-signed certificate for 127.0.0.1 with its key, in files that are removed when this is dropped.
pub struct Pair {
    /// The PEM file of the certificate, which is also that of its CA.
    pub cert_file: PathBuf,
    /// The PEM file of the key.
    pub key_file: PathBuf,
    /// The certificate.
    pub der: Vec<u8>,
}

impl Pair {
    /// Makes a pair; `name` is in the names of its files.
    pub fn new(name: &str) -> Self {
        let made = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).expect("a certificate");
        let file = |kind| std::env::temp_dir().join(format!("fescuelead-{}-{name}-{kind}.pem", std::process::id()));
        let pair = Self { cert_file: file("cert"), key_file: file("key"), der: made.cert.der().to_vec() };
        pair.write_cert(&made.cert.pem());
        pair.write_key(&made.signing_key.serialize_pem());
        pair
    }

    /// The certificate as PEM.
    pub fn cert_pem(&self) -> String {
        read(&self.cert_file)
    }

    /// The key as PEM.
    pub fn key_pem(&self) -> String {
        read(&self.key_file)
    }

    /// Replaces the certificate.
    pub fn write_cert(&self, pem: &str) {
        replace(&self.cert_file, pem);
    }

    /// Replaces the key.
    pub fn write_key(&self, pem: &str) {
        replace(&self.key_file, pem);
    }

    /// Connects to a listener that must have this certificate.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TlsStream<TcpStream>> {
        let mut roots = RootCertStore::empty();
        roots.add(self.der.clone().into()).expect("a valid certificate");
        let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("versions of the provider")
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        let stream = TcpStream::connect(address).await?;
        TlsConnector::from(Arc::new(config)).connect(ServerName::from(address.ip()), stream).await
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        for file in [&self.cert_file, &self.key_file] {
            std::fs::remove_file(file).expect("it exists");
        }
    }
}

fn read(file: &Path) -> String {
    std::fs::read_to_string(file).expect("it exists")
}

/// Moves a new file into place, as operators should.
fn replace(file: &Path, text: &str) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).expect("the temporary folder is writable");
    std::fs::rename(new, file).expect("the same folder");
}
