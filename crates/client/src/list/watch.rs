//! Follows the list by its changes.
//!
//! At 320 routers and 3,300 runners the whole list has about 700 KB. Reading
//! it each second would cost a hundred times the control budget, and reading
//! it seldom would show changes late. So the first answer is the whole list
//! and each later one only what changed after its revision; the call waits at
//! the list until something did.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;

use super::{Client, Error, ListResponse, Listing, parse_entries};

/// The list as followed so far.
#[derive(Debug)]
pub struct Watch {
    client: Client,
    revision: Option<u64>,
    entries: BTreeMap<String, Value>,
}

impl Watch {
    /// Returns a watch that begins with the whole list.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self {
            client,
            revision: None,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the list when it has changed, or unchanged after `wait`.
    ///
    /// A list that knows no revisions answers with everything at once; the
    /// caller has to pause between calls then, as [`Watch::waits`] says.
    ///
    /// # Errors
    ///
    /// [`Error`] if the list can't be reached or read. The next call goes on
    /// from the last response.
    pub async fn next(&mut self, wait: Duration) -> Result<Listing, Error> {
        let path = match self.revision {
            None => "/v1/instances".to_owned(),
            Some(after) => {
                let wait_ms = wait.as_millis();
                format!("/v1/instances?after={after}&wait_ms={wait_ms}")
            }
        };
        let timeout = self.client.timeout + wait;
        let response = self.client.get(&path, timeout).await?;
        self.apply_response(response);
        Ok(parse_entries(self.entries.values()))
    }

    /// Returns whether the list itself waits for changes.
    #[must_use]
    pub const fn is_long_polling(&self) -> bool {
        self.revision.is_some()
    }

    fn apply_response(&mut self, response: ListResponse) {
        self.revision = response.revision;
        if let Some(instances) = response.instances {
            self.entries.clear();
            self.insert_entries(instances);
            return;
        }
        self.insert_entries(response.changed);
        for name in &response.removed {
            self.entries.remove(name);
        }
    }

    // An entry without a name is kept too, to be named as refused.
    fn insert_entries(&mut self, values: Vec<Value>) {
        for value in values {
            let name = value["name"].as_str().unwrap_or_default().to_owned();
            self.entries.insert(name, value);
        }
    }
}
