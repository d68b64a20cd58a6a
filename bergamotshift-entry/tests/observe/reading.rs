//! Reads an entry's metrics.

use crate::site::Site;
use crate::site::client;

impl Site {
    /// Returns the metrics' text.
    pub async fn metrics(&self) -> String {
        let page = client().await.get(format!("http://{}/metrics", self.entry.operators()));
        let text = page.send().await.unwrap().body().await.unwrap();
        core::str::from_utf8(&text).unwrap().to_owned()
    }

    /// Returns the value of a series, without the prefix of all names.
    pub async fn value(&self, series: &str) -> u64 {
        let text = self.metrics().await;
        find(&text, series).unwrap_or_else(|| panic!("{series} is in {text}"))
    }

    /// Waits until a series has reached a value.
    pub async fn until(&self, series: &str, value: u64) {
        while find(&self.metrics().await, series).is_none_or(|found| found < value) {}
    }
}

fn find(text: &str, series: &str) -> Option<u64> {
    let mut values = text
        .lines()
        .filter_map(|line| line.strip_prefix("bergamotshift_")?.strip_prefix(series));
    values.find_map(|value| value.trim().parse().ok())
}
