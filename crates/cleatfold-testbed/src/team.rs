//! A team's jobs, queue or history as a table, asked of a running controller.

use cleatfold_clients::http::HttpClient;
use cleatfold_wire::team::{ActiveJob, EndedJob, TeamHistory, TeamJobs, TeamQueue, WaitingJob};
use serde::de::DeserializeOwned;
use std::io::{Error, Result};
use std::time::Duration;

#[derive(clap::Args)]
pub struct Question {
    /// A controller's address, HOST:PORT.
    address: String,
    team: String,
    #[arg(value_enum, default_value = "jobs")]
    what: What,
    /// From this place (of history: this number) on.
    #[arg(long, default_value_t = 0)]
    since: u64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum What {
    Jobs,
    Queue,
    History,
}

/// One answer's rows, what to ask with next, and whether there is more.
type Rows = (Vec<Vec<String>>, u64, bool);

pub async fn run(question: &Question) -> Result<()> {
    let http = HttpClient::new(&question.address);
    let mut since = question.since;
    let (what, heads): (_, &[&str]) = match question.what {
        What::Jobs => (
            "jobs",
            &["place", "job", "class", "urgency", "state", "done", "running", "tasks", "why"],
        ),
        What::Queue => {
            ("queue", &["place", "job", "class", "urgency", "rank", "tasks", "waits for", "why"])
        }
        What::History => (
            "history",
            &[
                "number", "job", "class", "state", "done", "tasks", "waited s", "ran s", "cpu s",
                "lost",
            ],
        ),
    };
    let mut rows = Vec::new();
    loop {
        let path = format!("/v1/teams/{}/{what}?since={since}", question.team);
        let (page, next, more) = match question.what {
            What::Jobs => jobs(ask(&http, &path).await?),
            What::Queue => queue(ask(&http, &path).await?),
            What::History => history(ask(&http, &path).await?),
        };
        rows.extend(page);
        let further = next > since;
        since = next;
        if !(more && further) {
            break;
        }
    }
    print(heads, &rows);
    println!("next: --since {since}");
    Ok(())
}

async fn ask<T: DeserializeOwned>(http: &HttpClient, path: &str) -> Result<T> {
    let timeout = Duration::from_secs(10);
    let answer = http.call(hyper::Method::GET, path, None, timeout).await;
    let (status, body) = answer.map_err(|e| Error::other(format!("no answer: {e:?}")))?;
    if status != 200 {
        return Err(Error::other(format!("{status}: {}", String::from_utf8_lossy(&body))));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// As on the wire, without quotes.
fn word(value: &impl serde::Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".into(), |v| v.to_string())
}

fn jobs(answer: TeamJobs) -> Rows {
    let row = |j: ActiveJob| {
        let (urgency, state) = (word(&j.urgency), word(&j.state));
        let (done, running, tasks) =
            (j.done.to_string(), j.running.to_string(), j.tasks.to_string());
        let (place, why) = (j.place.to_string(), or_dash(j.why));
        vec![place, word(&j.id), word(&j.class), urgency, state, done, running, tasks, why]
    };
    (answer.jobs.into_iter().map(row).collect(), answer.next, answer.more)
}

fn queue(answer: TeamQueue) -> Rows {
    let row = |j: WaitingJob| {
        let (urgency, wait_cause) = (word(&j.urgency), word(&j.wait_cause));
        let (place, rank, tasks) = (j.place.to_string(), or_dash(j.rank), j.tasks.to_string());
        vec![place, word(&j.id), word(&j.class), urgency, rank, tasks, wait_cause, or_dash(j.why)]
    };
    (answer.waiting.into_iter().map(row).collect(), answer.next, answer.more)
}

fn history(answer: TeamHistory) -> Rows {
    let seconds = |from: Option<u64>, to: Option<u64>| {
        let between = from.zip(to).map(|(from, to)| to.saturating_sub(from) as f64 / 1000.0);
        or_dash(between.map(|s| format!("{s:.1}")))
    };
    let row = |j: EndedJob| {
        let (waited, ran) = (seconds(j.accepted_ms, j.begun_ms), seconds(j.begun_ms, j.ended_ms));
        let cpu = or_dash(j.cpu_s.map(|s| format!("{s:.0}")));
        let (class, tasks) = (or_dash(j.class), or_dash(j.tasks));
        let (number, state, done) = (j.number.to_string(), word(&j.state), j.done.to_string());
        vec![number, word(&j.id), class, state, done, tasks, waited, ran, cpu, j.losses.to_string()]
    };
    (answer.ended.into_iter().map(row).collect(), answer.next, answer.more)
}

fn print(heads: &[&str], rows: &[Vec<String>]) {
    let heads: Vec<String> = heads.iter().map(|h| h.to_string()).collect();
    let all = || std::iter::once(&heads).chain(rows);
    let width = |i: usize| all().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    for row in all() {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
