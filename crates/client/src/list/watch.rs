//! Follows changes of the list by long polling.
//!
//! With 320 routers and 3,300 runners the whole list has about 700 KB. Fetching
//! it each second would cost a hundred times the budget for control traffic, and
//! fetching it less often would delay changes. Therefore the first response is
//! the whole list, and each later one has only the changes after its revision.
//! The list delays its response until there is a change.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;

use super::{Client, Error, ListResponse, Listing, parse_entries};

/// Follows the list and holds its current entries.
#[derive(Debug)]
pub struct Watch {
    client: Client,
    revision: Option<u64>,
    entries: BTreeMap<String, Value>,
}

impl Watch {
    /// Returns a watch that starts by fetching the whole list.
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
    /// A list without revisions responds with all entries at once. The caller has
    /// to pause between calls then; see [`Watch::is_long_polling`].
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the list can't be reached or parsed. The next call
    /// continues from the last valid response.
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

    /// Returns whether the list supports revisions, so that it delays responses
    /// until there are changes.
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

    // An entry without a name is retained too, so that it is reported as invalid.
    fn insert_entries(&mut self, values: Vec<Value>) {
        for value in values {
            let name = value["name"].as_str().unwrap_or_default().to_owned();
            self.entries.insert(name, value);
        }
    }
}
