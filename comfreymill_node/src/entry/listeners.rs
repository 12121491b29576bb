use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_types::error;
use monoio::net::TcpListener;
use monoio::task::JoinHandle;

use super::operators;
use super::prompt;
use super::upstreams;
use crate::runtime;
use crate::settings;

/// Bound listeners of an entry process.
pub(super) struct Listeners {
    limits: limits::Limits,
    callers: TcpListener,
    upstreams: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// `invalid-settings`, naming the listener that could not be bound.
    pub(super) fn open(settings: &settings::EntrySettings) -> Result<Self, error::Error> {
        let common = settings.get_common();
        let operators = common.get_network().get_operators();
        Ok(Self {
            limits: runtime::http_limits(common.get_limits()),
            callers: runtime::listen("listeners.callers", settings.get_callers())?,
            upstreams: runtime::listen("listeners.upstreams", settings.get_upstreams())?,
            operators: runtime::listen("listeners.operators", operators)?,
        })
    }

    /// Serves all listeners.
    ///
    /// The returned task ends once the callers' listener has been stopped through
    /// `callers_shutdown` and is drained.
    pub(super) fn serve(
        self,
        callers: prompt::Context,
        upstreams: upstreams::Context,
        operators: operators::Context,
        callers_shutdown: server::Shutdown,
    ) -> JoinHandle<server::DrainReport> {
        let handler = async move |req: server::Request<'_>| operators::serve(&operators, req).await;
        let no_shutdown = server::Shutdown::new;
        monoio::spawn(server::serve(self.operators, self.limits.clone(), handler, no_shutdown()));
        let handler = async move |req: server::Request<'_>| upstreams::serve(&upstreams, req).await;
        monoio::spawn(server::serve(self.upstreams, self.limits.clone(), handler, no_shutdown()));
        let handler = async move |req: server::Request<'_>| prompt::serve(&callers, req).await;
        monoio::spawn(server::serve(self.callers, self.limits, handler, callers_shutdown))
    }
}
