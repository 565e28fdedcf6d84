//! The floor: the least that a single-threaded relay costs. It passes bytes between a client's connection and one to a
//! node, each node in turn, and decides nothing. It does not even read what it passes.

use anyhow::{Context, Result};
use std::cell::Cell;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// Relays until standard input ends. Its address is printed first.
///
/// # Errors
/// No port is free.
pub fn serve(nodes: Vec<SocketAddr>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context("no port is free")?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{}\n", listener.local_addr()?)?;
        out.flush()?;
        drop(out);
        let next = Rc::new(Cell::new(0));
        spawn_local(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let node = nodes[next.get() % nodes.len()];
                next.set(next.get() + 1);
                spawn_local(async move {
                    let Ok(mut node) = TcpStream::connect(node).await else { return };
                    let _ = (client.set_nodelay(true), node.set_nodelay(true));
                    // Either side's end is the end of both.
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut node).await;
                });
            }
        });
        super::process::until_input_ends().await;
        Ok(())
    })
}
