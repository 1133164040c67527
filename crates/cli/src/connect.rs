//! Addresses of entries, and connections to them with and without TLS.

use std::{error::Error, fmt, io, net::SocketAddr, path::Path, str::FromStr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rustls::{
    CertificateError, ClientConfig, RootCertStore,
    crypto::ring,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::Instant,
};
use tokio_rustls::TlsConnector;

use crate::failure::{Exit, Failure};

/// The API address of an entry: `IP:PORT`, or `https://HOST:PORT` for TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddress {
    /// Host and port.
    authority: String,
    /// The name that the certificate must be for.
    tls_name: Option<ServerName<'static>>,
}

impl EntryAddress {
    /// Whether the entry serves TLS.
    pub fn is_tls(&self) -> bool {
        self.tls_name.is_some()
    }

    /// The value of the `Host` header.
    pub fn authority(&self) -> &str {
        &self.authority
    }
}

impl FromStr for EntryAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || "use IP:PORT, such as 10.0.0.11:7100, or https://HOST:PORT".to_owned();
        let Some(authority) = text.strip_prefix("https://") else {
            let address: SocketAddr = text.parse().map_err(|_| wrong())?;
            return Ok(Self { authority: address.to_string(), tls_name: None });
        };
        let authority = authority.strip_suffix('/').unwrap_or(authority);
        let (host, port) = authority.rsplit_once(':').ok_or_else(wrong)?;
        port.parse::<u16>().map_err(|_| wrong())?;
        let host = host.strip_prefix('[').and_then(|host| host.strip_suffix(']')).unwrap_or(host);
        let tls_name = ServerName::try_from(host.to_owned()).map_err(|_| wrong())?;
        Ok(Self { authority: authority.to_owned(), tls_name: Some(tls_name) })
    }
}

impl fmt::Display for EntryAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", if self.is_tls() { "https://" } else { "" }, self.authority)
    }
}

/// Opens connections, each for one request.
pub struct Connector {
    tls: Option<TlsConnector>,
}

impl Connector {
    /// A connector that trusts the certificates of `ca_file`.
    pub fn new(ca_file: Option<&Path>) -> Result<Self, Failure> {
        Ok(Self { tls: ca_file.map(tls_connector).transpose()? })
    }

    /// Opens a connection until `deadline`. A request was not sent if this fails.
    pub async fn connect(&self, entry: &EntryAddress, deadline: Instant) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let connected = tokio::time::timeout_at(deadline, self.open(entry)).await;
        connected.map_err(|_| Failure::new(Exit::NotRun, "cannot be reached: no connection in time"))?
    }

    async fn open(&self, entry: &EntryAddress) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let unreachable = |error| Failure::new(Exit::NotRun, format!("cannot be reached: {error}"));
        let stream = TcpStream::connect(&entry.authority).await.map_err(unreachable)?;
        match &entry.tls_name {
            None => start_http(stream).await,
            Some(name) => {
                let tls = self.tls.as_ref().ok_or_else(no_ca_file)?;
                start_http(tls.connect(name.clone(), stream).await.map_err(|e| tls_failure(&e))?).await
            }
        }
    }
}

/// The failure of a `https://` address without `--ca-file`.
pub fn no_ca_file() -> Failure {
    Failure::usage("a https:// entry needs --ca-file or FESCUELEAD_CA_FILE: the PEM file of the CA of its certificate")
}

async fn start_http<I>(stream: I) -> Result<SendRequest<Full<Bytes>>, Failure>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let started = handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        started.map_err(|error| Failure::new(Exit::NotRun, format!("cannot be reached: {error}")))?;
    // An error of the connection is also the answer to its request.
    tokio::spawn(connection);
    Ok(sender)
}

fn tls_connector(ca_file: &Path) -> Result<TlsConnector, Failure> {
    let wrong = |cause: &dyn fmt::Display| {
        let file = ca_file.display();
        Failure::usage(format!("--ca-file {file}: {cause}; give a PEM file with the certificates of the CA"))
    };
    let certificates: Vec<_> = CertificateDer::pem_file_iter(ca_file)
        .and_then(Iterator::collect)
        .map_err(|error| wrong(&format!("it cannot be read ({error})")))?;
    let mut roots = RootCertStore::empty();
    for certificate in certificates {
        roots.add(certificate).map_err(|error| wrong(&format!("a certificate cannot be used ({error})")))?;
    }
    if roots.is_empty() {
        return Err(wrong(&"it holds no certificate"));
    }
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|error| wrong(&error))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(TlsConnector::from(Arc::new(config)))
}

fn tls_failure(error: &io::Error) -> Failure {
    let cause = error.get_ref().and_then(<dyn Error + Send + Sync>::downcast_ref::<rustls::Error>);
    let remedy = match cause {
        // The signature is wrong if a CA in the file has the name of the issuer, but another key.
        Some(rustls::Error::InvalidCertificate(CertificateError::UnknownIssuer | CertificateError::BadSignature)) => {
            "; its certificate is from no CA in --ca-file"
        }
        Some(rustls::Error::InvalidCertificate(
            CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. },
        )) => "; name the entry as its certificate does",
        Some(rustls::Error::InvalidCertificate(
            CertificateError::Expired | CertificateError::ExpiredContext { .. },
        )) => "; replace its certificate",
        Some(rustls::Error::InvalidMessage(_)) => "; an entry without TLS is named as IP:PORT",
        _ => "",
    };
    Failure::new(Exit::NotRun, format!("the TLS handshake failed: {error}{remedy}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an address that is taken for another one, or refused although it is good.
    #[rstest::rstest]
    #[case::plain("10.0.0.11:7100", Some(false))]
    #[case::plain_v6("[::1]:7100", Some(false))]
    #[case::tls("https://10.0.0.11:7100", Some(true))]
    #[case::tls_v6("https://[::1]:7100", Some(true))]
    #[case::tls_name("https://entry-a.example:7100/", Some(true))]
    #[case::no_port("https://10.0.0.11", None)]
    #[case::name_without_tls("entry-a.example:7100", None)]
    #[case::path("https://10.0.0.11:7100/v1", None)]
    #[case::other_scheme("ftp://10.0.0.11:7100", None)]
    fn addresses_are_checked(#[case] text: &str, #[case] is_tls: Option<bool>) {
        let address = text.parse::<EntryAddress>();
        assert_eq!(address.as_ref().ok().map(EntryAddress::is_tls), is_tls, "{address:?}");
        if let Ok(address) = address {
            assert_eq!(address.to_string(), text.trim_end_matches('/'));
        }
    }
}
