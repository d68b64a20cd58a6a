//! Asks entries for their status.

use core::net::SocketAddr;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::rt::DefaultRuntime;
use ntex::rt::JoinHandle;
use ntex::rt::System;
use ntex::time::Millis;

use super::Report;
use crate::entry::admin::status::Status;

/// How long an entry may take over its answer.
const TIMEOUT: Millis = Millis(3_000);

/// The largest answer taken, in bytes: some thousand endpoints and entries.
const LARGEST: usize = 16 * 1024 * 1024;

/// Asks all entries at once; the reports come in the order of the addresses.
pub fn all(addresses: &[SocketAddr]) -> Vec<Report> {
    let addresses = addresses.to_vec();
    System::new("status", DefaultRuntime).block_on(async move {
        let client = Client::builder()
            .response_timeout(TIMEOUT)
            .response_payload_timeout(TIMEOUT)
            .response_payload_limit(LARGEST)
            .build(SharedCfg::default())
            .await;
        let client = match client {
            Ok(client) => client,
            Err(error) => return failed(&addresses, &error.to_string()),
        };
        let asked: Vec<(SocketAddr, JoinHandle<_>)> = addresses
            .iter()
            .map(|address| (*address, ntex::rt::spawn(one(client.clone(), *address))))
            .collect();
        let mut reports = Vec::with_capacity(asked.len());
        for (address, answer) in asked {
            let status = answer
                .await
                .unwrap_or_else(|_| Err("the reading was cut off".to_owned()));
            reports.push(Report { address, status });
        }
        reports
    })
}

fn failed(addresses: &[SocketAddr], error: &str) -> Vec<Report> {
    let report = |address: &SocketAddr| Report {
        address: *address,
        status: Err(error.to_owned()),
    };
    addresses.iter().map(report).collect()
}

async fn one(client: Client, address: SocketAddr) -> Result<Status, String> {
    let response = client
        .get(format!("http://{address}/status"))
        .send()
        .await
        .map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("it answered {}", response.status()));
    }
    let body = response.body().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| format!("its answer cannot be read: {error}"))
}
