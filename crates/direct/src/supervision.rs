//! Notices that a task which an instance needs has ended by a panic.
//!
//! Such a task ends alone, and the others go on with what it no longer renews: a list that nobody
//! follows, say. The instance says from then on that it isn't ready, and its process is told, to
//! end it like a stop signal does and to be started again.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::shared::Shared;
use crate::shutdown;

/// What is shown of a panic whose message isn't text.
const NO_MESSAGE: &str = "(no message)";

/// Watches the tasks that an instance needs.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    shared: Arc<Shared>,
    failed: watch::Sender<Option<&'static str>>,
}

impl Supervisor {
    /// Returns a supervisor of no task yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let (failed, _) = watch::channel(None);
        Self { shared, failed }
    }

    /// Starts a task that the instance needs.
    pub(crate) fn spawn(
        &self,
        task: &'static str,
        future: impl Future<Output = ()> + Send + 'static,
    ) {
        let running = tokio::spawn(future);
        let supervisor = self.clone();
        tokio::spawn(async move {
            if let Err(error) = running.await
                && let Ok(panic) = error.try_into_panic()
            {
                supervisor.record_failure(task, &*panic);
            }
        });
    }

    /// Runs the main task of a thread that the instance needs.
    pub(crate) fn block_on(
        &self,
        thread: &'static str,
        runtime: &Runtime,
        future: impl Future<Output = ()>,
    ) {
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| runtime.block_on(future))) {
            self.record_failure(thread, &*panic);
        }
    }

    /// Waits until a task that the instance needs has ended by a panic; returns its name.
    pub(crate) async fn wait_for_failure(&self) -> &'static str {
        let mut failed = self.failed.subscribe();
        loop {
            if let Some(task) = *failed.borrow_and_update() {
                return task;
            }
            if failed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn record_failure(&self, task: &'static str, panic: &(dyn Any + Send)) {
        log::error!(
            task:% = task, cause:% = message(panic);
            "task ended by a fault of the program; the instance is no longer ready and stops"
        );
        self.shared.metrics.start().count_failed_task(task);
        let limit = shutdown::limit(self.shared.settings.grace);
        self.shared.shutdown().begin(limit);
        self.failed.send_if_modified(|failed| {
            let is_first = failed.is_none();
            failed.get_or_insert(task);
            is_first
        });
    }
}

// Returns the message of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&'static str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or(NO_MESSAGE)
}
