use std::future::Future;
use std::thread;

/// Thread with a runtime of its own that ends when its handle is dropped.
#[derive(Debug)]
pub(super) struct Running {
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Starts a thread that runs what `make` makes.
    pub(super) fn start<M, F>(name: &str, make: M) -> Self
    where
        M: FnOnce() -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let (stop, stopped) = flume::bounded::<()>(0);
        let run = move || {
            let served = comfreymill_node::runtime::block_on(async move {
                monoio::select! {
                    () = make() => {}
                    _ = stopped.recv_async() => {}
                }
            });
            served.expect("a runtime can be made");
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        Self { stop: Some(stop), thread: Some(thread.expect("a thread can be started")) }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}
