//! The source against a stand-in of Nomad, over loopback sockets.

use brassport::clock::SystemClock;
use brassport::network::Tcp;
use brassport_fakes::cluster::Cluster;
use brassport_fakes::nomad::{Servers, Trouble};
use brassport_membership::book::{Book, Moment, Report, State};
use brassport_nomad::{Host, Server, Settings, Source, Token};
use brassport_process_harness::port::reserve;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// A token that a test exchanges.
#[derive(Clone, Default)]
struct Held(Rc<RefCell<Option<String>>>);

impl Token for Held {
    fn read(&self) -> Result<Option<String>, String> {
        Ok(self.0.borrow().clone())
    }
}

struct Site {
    servers: Rc<Servers<SystemClock>>,
    book: Rc<RefCell<Book>>,
    heard: Rc<Notify>,
    reports: Rc<Cell<u32>>,
    log: Rc<RefCell<Vec<String>>>,
    token: Held,
    addresses: Vec<SocketAddr>,
    _tasks: Vec<JoinHandle<()>>,
}

fn node_address(node: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + node).into()
}

impl Site {
    /// Three servers of a cluster with these nodes, and a source that follows it.
    async fn start(nodes: u16, change: impl FnOnce(&mut Settings), secret: Option<&str>) -> Site {
        let mut cluster = Cluster::new(true);
        for node in 0..nodes {
            cluster.start(
                &format!("n{node}"),
                &format!("c{node}"),
                node_address(node),
                &["zone=a", "group=3"],
                1,
            );
        }
        let servers = Servers::new(SystemClock, cluster, 3, Duration::from_millis(100));
        servers.require(secret);
        let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
        for server in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            addresses.push(listener.local_addr().expect("an address"));
            let servers = servers.clone();
            tasks.push(spawn_local(async move { drop(servers.accept(listener, server).await) }));
        }
        let at = addresses.iter().map(|at| Server { address: *at }).collect();
        let mut settings = Settings::of("render", at);
        settings.wait = Duration::from_millis(500);
        settings.silence = Duration::from_millis(600);
        settings.options.rules.behind_for = 3_000;
        settings.options.rules.empty_for = 800;
        change(&mut settings);
        let book =
            Rc::new(RefCell::new(Book::new(vec![brassport_membership::book::Source::authority("nomad")])));
        let (heard, reports, log) =
            (Rc::new(Notify::new()), Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let reader = {
            let (book, heard, reports) = (book.clone(), heard.clone(), reports.clone());
            move |report: Report| {
                reports.set(reports.get() + 1);
                book.borrow_mut().take(Moment { monotonic: 0, unix: 0 }, 0, report);
                heard.notify_one();
            }
        };
        let (lines, wake) = (log.clone(), heard.clone());
        let token = Held(Rc::new(RefCell::new(secret.map(str::to_string))));
        let source = Source::new(
            SystemClock,
            Tcp,
            settings,
            Host {
                security: None,
                token: Box::new(token.clone()),
                seed: 7,
                reader: Box::new(reader),
                log: Box::new(move |line| {
                    lines.borrow_mut().push(line);
                    wake.notify_one();
                }),
            },
        );
        tasks.push(spawn_local(source.follow()));
        Site { servers, book, heard, reports, log, token, addresses, _tasks: tasks }
    }

    fn state(&self, node: &str) -> Option<State> {
        self.book.borrow().nodes().find(|entry| &*entry.id == node).map(|entry| entry.state)
    }

    async fn until(&self, what: &str, mut is: impl FnMut(&Site) -> bool) {
        let wait = async {
            while !is(self) {
                // The stand-in is looked at too, which wakes nobody.
                let _ = tokio::time::timeout(Duration::from_millis(20), self.heard.notified()).await;
            }
        };
        if tokio::time::timeout(Duration::from_secs(15), wait).await.is_err() {
            let nodes: Vec<_> = self.book.borrow().nodes().cloned().collect();
            panic!("{what} did not come about: {nodes:?}, log {:?}", self.log.borrow());
        }
    }

    fn trouble_all(&self, trouble: &Trouble) {
        (0..3).for_each(|server| self.servers.trouble(server, trouble.clone()));
    }
}

async fn run<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn the_whole_list_comes_with_its_tags_and_changes_follow_at_once() {
    run(async {
        let site = Site::start(3, |_| {}, None).await;
        site.until("the list", |site| site.book.borrow().len() == 3).await;
        let first = site.book.borrow().nodes().next().cloned().expect("a node");
        assert_eq!((first.zone.as_str(), first.group, first.address), ("a", 3, Some(node_address(0))));
        site.servers.change(|cluster| cluster.drain("c1", "n1"));
        site.until("the drain", |site| site.state("n1") == Some(State::Draining)).await;
        let why = site.book.borrow().explain("n1", Moment { monotonic: 0, unix: 0 }).expect("known");
        assert_eq!(why.because, "'nomad' says draining: its client drains", "while it is still registered");
        site.servers.change(|cluster| cluster.start("n9", "c9", node_address(9), &[], 99));
        site.until("the new one", |site| site.state("n9") == Some(State::Ready)).await;
        let boot = site.book.borrow().nodes().find(|entry| &*entry.id == "n9").expect("listed").boot_ms;
        assert_eq!(boot, 99.0, "its allocation tells when it started");
        site.servers.change(|cluster| cluster.stop("n0"));
        site.until("the end", |site| site.state("n0").is_none()).await;
        assert_eq!(*site.log.borrow(), [""; 0]);
    })
    .await;
}

#[tokio::test]
async fn without_the_stream_the_blocking_queries_tell_a_drain() {
    run(async {
        let site = Site::start(2, |settings| settings.silence = Duration::from_secs(60), None).await;
        site.until("the list", |site| site.book.borrow().len() == 2).await;
        site.trouble_all(&Trouble { silent: true, ..Trouble::NONE });
        site.servers.change(|cluster| cluster.drain("c1", "n1"));
        site.until("the drain", |site| site.state("n1") == Some(State::Draining)).await;
        assert_eq!(*site.log.borrow(), [""; 0], "the silence is not noticed yet");
    })
    .await;
}

#[tokio::test]
async fn a_stream_that_is_open_and_silent_is_noticed_and_begun_anew() {
    run(async {
        let site = Site::start(1, |_| {}, None).await;
        site.until("the list", |site| site.book.borrow().len() == 1).await;
        site.trouble_all(&Trouble { silent: true, ..Trouble::NONE });
        site.until("the notice", |site| {
            site.log.borrow().iter().any(|line| line.contains("sent nothing for"))
        })
        .await;
        site.trouble_all(&Trouble::NONE);
        site.until("the end of it", |site| {
            site.log.borrow().last().is_some_and(|line| line.contains("again"))
        })
        .await;
    })
    .await;
}

#[tokio::test]
async fn an_api_that_comes_back_with_an_older_state_undoes_nothing_and_drops_nothing() {
    run(async {
        let site = Site::start(3, |settings| settings.options.rules.behind_for = 60_000, None).await;
        site.until("the list", |site| site.book.borrow().len() == 3).await;
        site.servers.change(|cluster| {
            cluster.drain("c0", "n0");
            cluster.start("n8", "c8", node_address(8), &[], 1);
        });
        site.until("the changes", |site| {
            site.state("n8").is_some() && site.state("n0") == Some(State::Draining)
        })
        .await;
        // All servers show the state before both; the calls that wait are answered at once.
        site.trouble_all(&Trouble { lag: 5, ..Trouble::NONE });
        site.until("the notice", |site| site.log.borrow().iter().any(|line| line.contains("older state")))
            .await;
        let calls = *site.servers.calls.borrow();
        site.until("more calls", |site| *site.servers.calls.borrow() > calls + 6).await;
        assert_eq!((site.state("n0"), site.state("n8")), (Some(State::Draining), Some(State::Ready)));
        site.trouble_all(&Trouble::NONE);
        site.servers.change(|cluster| cluster.drain("c1", "n1"));
        site.until("news", |site| site.state("n1") == Some(State::Draining)).await;
        assert_eq!((site.state("n0"), site.state("n8")), (Some(State::Draining), Some(State::Ready)));
    })
    .await;
}

#[tokio::test]
async fn a_source_that_was_restored_counts_in_the_end_and_says_so() {
    run(async {
        let site = Site::start(2, |settings| settings.options.rules.behind_for = 500, None).await;
        site.until("the list", |site| site.book.borrow().len() == 2).await;
        site.servers.change(|cluster| cluster.start("n8", "c8", node_address(8), &[], 1));
        site.until("the new one", |site| site.state("n8").is_some()).await;
        site.trouble_all(&Trouble { lag: 3, ..Trouble::NONE });
        site.until("the restored list", |site| site.state("n8").is_none()).await;
        assert!(site.log.borrow().iter().any(|line| line.contains("restored")), "{:?}", site.log.borrow());
    })
    .await;
}

#[tokio::test]
async fn a_stale_or_partial_or_leaderless_answer_drops_nothing_and_another_server_is_asked() {
    run(async {
        for trouble in [
            Trouble { partial: true, ..Trouble::NONE },
            Trouble { leaderless: true, empty: true, ..Trouble::NONE },
            Trouble { last_contact: 5_000, partial: true, ..Trouble::NONE },
        ] {
            let site = Site::start(4, |_| {}, None).await;
            site.until("the list", |site| site.book.borrow().len() == 4).await;
            site.servers.trouble(0, trouble.clone());
            site.until("the notice", |site| site.log.borrow().iter().any(|line| line.contains("behind")))
                .await;
            site.servers.change(|cluster| cluster.drain("c2", "n2"));
            site.until("the drain", |site| site.state("n2") == Some(State::Draining)).await;
            assert_eq!(site.book.borrow().len(), 4, "{trouble:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn an_empty_list_is_believed_only_when_it_stays() {
    run(async {
        let site = Site::start(2, |_| {}, None).await;
        site.until("the list", |site| site.book.borrow().len() == 2).await;
        // Broken for a moment.
        site.trouble_all(&Trouble { empty: true, ..Trouble::NONE });
        site.until("the notice", |site| site.log.borrow().iter().any(|line| line.contains("lists no node")))
            .await;
        assert_eq!(site.book.borrow().len(), 2);
        site.trouble_all(&Trouble::NONE);
        site.until("the end of it", |site| {
            site.log.borrow().last().is_some_and(|line| line.contains("again"))
        })
        .await;
        assert_eq!(site.book.borrow().len(), 2);
        // Scaled to zero.
        site.trouble_all(&Trouble { empty: true, ..Trouble::NONE });
        site.until("the end of all", |site| site.book.borrow().is_empty()).await;
    })
    .await;
}

#[tokio::test]
async fn a_token_that_is_revoked_is_told_once_and_a_new_one_is_taken_up() {
    run(async {
        let site = Site::start(2, |_| {}, Some("first-secret")).await;
        site.until("the list", |site| site.book.borrow().len() == 2).await;
        site.servers.require(Some("second-secret"));
        site.until("the notice", |site| !site.log.borrow().is_empty()).await;
        let calls = *site.servers.calls.borrow();
        site.until("more calls", |site| *site.servers.calls.borrow() > calls + 8).await;
        assert_eq!(site.book.borrow().len(), 2, "the list stays in force");
        let told = site.log.borrow().iter().filter(|line| line.contains("403")).count();
        assert_eq!(told, 1, "{:?}", site.log.borrow());
        *site.token.0.borrow_mut() = Some("second-secret".into());
        site.servers.change(|cluster| cluster.drain("c1", "n1"));
        site.until("the drain", |site| site.state("n1") == Some(State::Draining)).await;
        assert!(!site.log.borrow().iter().any(|line| line.contains("secret")), "{:?}", site.log.borrow());
    })
    .await;
}

#[tokio::test]
async fn a_server_that_freezes_within_its_answer_fails_or_is_rate_limited_is_left_for_the_next() {
    run(async {
        for trouble in [
            Trouble { freezes: true, ..Trouble::NONE },
            Trouble { status: Some(500), ..Trouble::NONE },
            Trouble { status: Some(429), ..Trouble::NONE },
        ] {
            let site = Site::start(2, |settings| settings.wait = Duration::from_millis(50), None).await;
            site.until("the list", |site| site.book.borrow().len() == 2).await;
            site.servers.trouble(0, trouble.clone());
            site.servers.change(|cluster| cluster.drain("c1", "n1"));
            site.until("the drain", |site| site.state("n1") == Some(State::Draining)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn events_that_come_twice_out_of_order_or_cut_in_half_end_in_the_same_list() {
    run(async {
        for trouble in [
            Trouble { twice: true, ..Trouble::NONE },
            Trouble { disorder: true, ..Trouble::NONE },
            Trouble { cuts: true, ..Trouble::NONE },
        ] {
            let site = Site::start(4, |_| {}, None).await;
            site.until("the list", |site| site.book.borrow().len() == 4).await;
            site.trouble_all(&trouble);
            site.servers.change(|cluster| {
                cluster.write_client("c1", true, "ready", Some("n1"));
                cluster.write_client("c1", false, "ready", None);
                cluster.write_client("c2", false, "ready", None);
                cluster.write_client("c2", true, "ready", Some("n2"));
                cluster.stop("n3");
            });
            let ended = |site: &Site| {
                [site.state("n1"), site.state("n2"), site.state("n3")]
                    == [Some(State::Ready), Some(State::Draining), None]
            };
            site.until("the end", ended).await;
            let reports = site.reports.get();
            site.servers.change(|cluster| cluster.start("n9", "c9", node_address(9), &[], 1));
            site.until("one more", |site| site.reports.get() > reports && site.state("n9").is_some()).await;
            assert!(ended(&site), "{trouble:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_server_that_is_not_there_is_passed_over() {
    run(async {
        let gone = reserve();
        let site =
            Site::start(1, |settings| settings.servers.insert(0, Server { address: gone }), None).await;
        site.until("the list", |site| site.book.borrow().len() == 1).await;
        assert!(site.log.borrow()[0].contains(&gone.to_string()), "{:?}", site.log.borrow());
        assert_ne!(site.addresses[0], gone);
    })
    .await;
}
