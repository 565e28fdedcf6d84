//! TLS to the API's servers, by rustls: a certificate authority of the operator's, and a client certificate where the
//! servers ask for one.

use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::client::TlsStream;
use tokio_rustls::TlsConnector;

/// Where the operator keeps what TLS needs. PEM files.
#[derive(Debug, Clone, Copy)]
pub struct Files<'a> {
    /// The certificates of the authorities that may have signed a server's.
    pub ca: &'a Path,
    /// Our own certificate and its key, for servers with `verify_https_client`.
    pub own: Option<(&'a Path, &'a Path)>,
    /// The name that the servers' certificates must hold: `server.<region>.nomad` by Nomad's custom.
    pub server_name: &'a str,
}

/// A way to make a connection secret.
#[derive(Clone)]
pub struct Tls {
    connector: TlsConnector,
    name: ServerName<'static>,
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    /// Which file is wrong, and how. No part of a key is in it.
    pub fn read(files: Files) -> Result<Tls, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = RootCertStore::empty();
        for certificate in certificates(files.ca)? {
            roots.add(certificate).map_err(|error| format!("{}: {error}", files.ca.display()))?;
        }
        let verifier = WebPkiServerVerifier::builder_with_provider(Arc::new(roots), provider.clone())
            .build()
            .map_err(|error| format!("{}: {error}", files.ca.display()))?;
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| error.to_string())?
            .with_webpki_verifier(verifier);
        let config = match files.own {
            None => builder.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain = certificates(certificate)?;
                let read = PrivateKeyDer::from_pem_file(key);
                let read =
                    read.map_err(|_| format!("{}: no private key in PEM can be read", key.display()))?;
                builder.with_client_auth_cert(chain, read).map_err(|error| {
                    format!("{} and {} do not go together: {error}", certificate.display(), key.display())
                })?
            }
        };
        let name = ServerName::try_from(files.server_name.to_string())
            .map_err(|_| format!("'{}' is no name of a server", files.server_name))?;
        Ok(Tls { connector: TlsConnector::from(Arc::new(config)), name })
    }

    pub(crate) async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: S,
    ) -> io::Result<TlsStream<S>> {
        self.connector.connect(self.name.clone(), stream).await
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let problem = |error: rustls::pki_types::pem::Error| format!("{}: {error}", path.display());
    let all: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path).map_err(problem)?.collect();
    let all = all.map_err(problem)?;
    if all.is_empty() {
        return Err(format!("{}: there is no certificate in PEM in it", path.display()));
    }
    Ok(all)
}
