//! The downstream server of a node: its listener and client connections.

use super::rejection::Rejection;
use super::ResponseOrLast;
use crate::data_plane::DataPlane;
use brassport_proxy::body::ResponseBody;
use brassport_proxy::clock::Clock;
use brassport_proxy::date::DateHeader;
use brassport_proxy::downstream::{self, DownstreamService};
use brassport_proxy::downstream::{ConnectionRegistry, DownstreamConnection};
use brassport_proxy::network::Network;
use brassport_proxy::shutdown::{Phase, Shutdown};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use tokio::sync::mpsc;

/// The downstream side of a node.
struct Downstream<C: Clock, N: Network> {
    data_plane: Rc<DataPlane<C, N>>,
    shutdown: Rc<Shutdown>,
    connections: Rc<ConnectionRegistry<C>>,
    date: DateHeader,
}

/// Serves clients until the shutdown reaches [`Phase::Closing`], then returns when every connection has ended.
pub async fn serve<C: Clock, N: Network>(
    listener: N::Listener,
    data_plane: Rc<DataPlane<C, N>>,
    shutdown: Rc<Shutdown>,
) {
    let descriptors = data_plane.resources.descriptors.clone();
    let total = descriptors.available_permits();
    let connections = Rc::new(ConnectionRegistry::new(data_plane.resources.clock.clone()));
    let downstream = Rc::new(Downstream { data_plane, shutdown, connections, date: DateHeader::default() });
    // The gateway adopts no connections of other processes. The sender is kept alive so that the channel stays open: a
    // closed channel would be taken for a completed handover.
    let (_sender, adopted) = mpsc::unbounded_channel();
    downstream::serve(Rc::new(listener), downstream, descriptors, total, adopted).await;
}

impl<C: Clock, N: Network> DownstreamService for Downstream<C, N> {
    type Clock = C;
    type Network = N;
    type RequestContext = ();

    fn clock(&self) -> &C {
        &self.data_plane.resources.clock
    }

    fn connections(&self) -> &Rc<ConnectionRegistry<C>> {
        &self.connections
    }

    fn date(&self) -> &DateHeader {
        &self.date
    }

    fn on_request(&self, _: &Request<Incoming>) {}

    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<C>,
        (): &(),
    ) -> ResponseOrLast {
        self.data_plane.respond(request, client).await
    }

    fn overload_response(&self) -> Response<ResponseBody> {
        Rejection::NoConnection.into_response()
    }

    fn on_response((): &(), _: StatusCode) {}

    fn on_stream_end((): &(), _: bool) {}

    fn evict_idle(&self) -> bool {
        self.data_plane.close_idle_connection()
    }

    fn is_serving(&self) -> bool {
        self.shutdown.phase() == Phase::Serving
    }

    async fn closing(&self) {
        self.shutdown.closing().await;
    }
}
