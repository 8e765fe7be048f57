//! Stand-in of the servers of a service that is no model, such as the booking service.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// A server, which counts the runs of each request.
#[derive(Clone)]
pub struct App {
    /// Address, `IP:PORT`.
    pub address: String,
    id: String,
    work: Duration,
    record: Record,
    // Runs by attempt id.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    // Attempt ids and times of the requests that arrived.
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl App {
    /// Starts a server whose requests take `work`.
    pub fn start(id: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let app = Self {
            address: listener.local_addr().expect("an address").to_string(),
            id: id.into(),
            work,
            record: record.clone(),
            runs: Arc::default(),
            arrivals: Arc::default(),
        };
        let serving = app.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let app = serving.clone();
                std::thread::spawn(move || app.serve(stream));
            }
        });
        app
    }

    /// Returns how often a request has run.
    pub fn runs_of(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().expect("no panic");
        runs.get(attempt).copied().unwrap_or(0)
    }

    /// Returns the attempt ids and times of the requests that arrived.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let arrived_at = Instant::now();
            let attempt = request
                .header("x-bilberrypost-attempt-id")
                .unwrap_or("")
                .to_owned();
            let echo = format!("X-Bilberrypost-Attempt-Id: {attempt}\r\n");
            let expected = request.header("x-bilberrypost-expect-instance");
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let result = match is_other {
                true => http::write_response(&mut writer, "421 Misdirected Request", &echo, ""),
                false => {
                    let arrival = (attempt.clone(), arrived_at);
                    self.arrivals.lock().expect("no panic").push(arrival);
                    self.record
                        .line(&format!("server {}: runs {attempt}", self.id));
                    *self
                        .runs
                        .lock()
                        .expect("no panic")
                        .entry(attempt.clone())
                        .or_default() += 1;
                    sleep(self.work);
                    let headers = format!("{echo}X-Bilberrypost-Response-Seal: seal-{attempt}\r\n");
                    http::write_response(&mut writer, "200 OK", &headers, "reserved")
                }
            };
            if result.is_err() {
                return;
            }
        }
    }
}
