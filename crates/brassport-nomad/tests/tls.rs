//! TLS to the API: an authority of the operator's, and a client certificate that the server asks for.
#![cfg(feature = "tls")]

use brassport::clock::SystemClock;
use brassport::network::Tcp;
use brassport_fakes::cluster::Cluster;
use brassport_fakes::nomad::Servers;
use brassport_nomad::tls::{Files, Tls};
use brassport_nomad::{Host, Server, Settings, Source};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio_rustls::TlsAcceptor;

const NAME: &str = "server.global.nomad";

struct Pems(tempfile::TempDir);

impl Pems {
    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// An authority's certificate, and what it has signed: a server's and a client's.
    fn make() -> Pems {
        let pems = Pems(tempfile::tempdir().expect("a directory"));
        for authority in ["ours", "other"] {
            let key = KeyPair::generate().expect("a key");
            let mut params = CertificateParams::new(Vec::new()).expect("no names");
            params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
            pems.write(authority, &params.self_signed(&key).expect("signed").pem());
            let issuer = Issuer::new(params, key);
            for (of, name) in [("server", NAME), ("client", "client.global.nomad")] {
                let key = KeyPair::generate().expect("a key");
                let params = CertificateParams::new(vec![name.to_string()]).expect("a name");
                let signed = params.signed_by(&key, &issuer).expect("signed");
                pems.write(&format!("{authority}-{of}"), &signed.pem());
                pems.write(&format!("{authority}-{of}-key"), &key.serialize_pem());
            }
        }
        pems
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("written");
    }

    /// What the server shows, asking for a client's certificate of `ours`.
    fn server(&self) -> TlsAcceptor {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let certificate = |path: &Path| CertificateDer::from_pem_file(path).expect("a certificate");
        let mut roots = RootCertStore::empty();
        roots.add(certificate(&self.path("ours"))).expect("an authority");
        let clients = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
        let key = PrivateKeyDer::from_pem_file(self.path("ours-server-key")).expect("a key");
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_client_cert_verifier(clients.expect("a verifier"))
            .with_single_cert(vec![certificate(&self.path("ours-server"))], key)
            .expect("they go together");
        TlsAcceptor::from(Arc::new(config))
    }

    fn client(&self, ca: &str, own: Option<&str>, server_name: &str) -> Result<Tls, String> {
        let own = own.map(|name| (self.path(name), self.path(&format!("{name}-key"))));
        let own = own.as_ref().map(|(certificate, key)| (certificate.as_path(), key.as_path()));
        Tls::read(Files { ca: &self.path(ca), own, server_name })
    }
}

/// The first report or the first line of the log.
async fn follow(pems: &Pems, security: Tls) -> Result<usize, String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut cluster = Cluster::new(false);
    cluster.start("n", "c", ([127, 0, 0, 1], 9000).into(), &[], 1);
    let servers = Servers::new(SystemClock, cluster, 1, Duration::from_secs(1));
    let acceptor = pems.server();
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let (acceptor, servers) = (acceptor.clone(), servers.clone());
            spawn_local(async move {
                if let Ok(stream) = acceptor.accept(stream).await {
                    servers.connection(stream, 0).await;
                }
            });
        }
    });
    let (tell, mut told) = mpsc::unbounded_channel();
    let log = tell.clone();
    let host = Host {
        security: Some(security),
        token: Box::new(()),
        seed: 1,
        reader: Box::new(move |report| drop(tell.send(Ok(report.entries.len())))),
        log: Box::new(move |line| drop(log.send(Err(line)))),
    };
    let source = Source::new(SystemClock, Tcp, Settings::of("render", vec![Server { address }]), host);
    let following = spawn_local(source.follow());
    let first = tokio::time::timeout(Duration::from_secs(15), told.recv()).await;
    following.abort();
    first.expect("in time").expect("something is told")
}

#[tokio::test]
async fn the_right_authority_name_and_certificate_are_needed() {
    let test = async {
        let pems = Pems::make();
        let good = pems.client("ours", Some("ours-client"), NAME).expect("good files");
        assert_eq!(follow(&pems, good).await, Ok(1));
        for (ca, own, name, what) in [
            ("other", Some("ours-client"), NAME, "an authority that did not sign the server's"),
            ("ours", Some("ours-client"), "other.nomad", "another name than the server's"),
            ("ours", None, NAME, "no certificate"),
            ("ours", Some("other-client"), NAME, "a certificate of another authority"),
        ] {
            let bad = pems.client(ca, own, name).expect("good files");
            let told = follow(&pems, bad).await;
            assert!(told.is_err(), "{what}: {told:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[test]
fn what_is_wrong_with_a_file_is_said_without_a_word_of_the_key() {
    let pems = Pems::make();
    fs::copy(pems.path("ours-client"), pems.path("mixed")).expect("copied");
    fs::copy(pems.path("ours-server-key"), pems.path("mixed-key")).expect("copied");
    pems.write("empty", "");
    let key = fs::read_to_string(pems.path("ours-server-key")).expect("read");
    let secret = key.lines().nth(1).expect("a line of it");
    for (ca, own, word) in [
        ("nowhere", None, "nowhere"),
        ("empty", None, "empty"),
        ("ours-client-key", None, "ours-client-key"),
        ("ours", Some("mixed"), "go together"),
        ("ours", Some("empty"), "empty"),
    ] {
        let Err(problem) = pems.client(ca, own, NAME) else { panic!("{ca} and {own:?} are taken") };
        assert!(problem.contains(word) && !problem.contains(secret), "{problem}");
    }
}
