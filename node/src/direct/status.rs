//! Serves readiness, metrics and state dumps over HTTP.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::clients::Client;
use super::clients::Clients;
use super::http_server;
use super::http_server::ConnectionLimits;
use super::response_body::ResponseBody;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_len: 16 << 10,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

/// Answers requests on `listener` with `respond` until the process ends. Bodies are not read.
pub(super) async fn serve(
    listener: TcpListener,
    clients: Rc<Clients>,
    log: Logger,
    respond: impl Fn(&Request<Incoming>) -> Response<ResponseBody> + Clone + 'static,
) {
    // Nothing is sent on it: the connections end with the process.
    let (_close_tx, close_rx) = watch::channel(false);
    http_server::accept(listener, clients, log.clone(), |stream, client| {
        let handle = {
            let respond = respond.clone();
            move |client: Rc<Client>, req: Request<Incoming>| {
                let response = handle_request(&client, &req, &respond);
                async move { response }
            }
        };
        let (close_rx, log) = (close_rx.clone(), log.clone());
        spawn_local(async move {
            if let Err(e) = http_server::serve(stream, client, LIMITS, close_rx, handle).await {
                slog::warn!(log, "setting options of a connection failed"; "error" => e.to_string());
            }
        });
    })
    .await;
}

fn handle_request(
    client: &Client,
    req: &Request<Incoming>,
    respond: impl Fn(&Request<Incoming>) -> Response<ResponseBody>,
) -> Response<ResponseBody> {
    let mut response = if client.begin_request().is_ok() {
        respond(req)
    } else {
        let mut response = Response::new(ResponseBody::full(Bytes::from_static(b"out of memory")));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    };
    if req.body().is_end_stream() {
        client.finish_body();
    } else {
        client.leave_body_unread();
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}
