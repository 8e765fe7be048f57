//! TCP proxy between a host and the store that can be cut, as a partition between the two.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const BUFFER_BYTES: usize = 64 * 1024;

/// The proxy; clones share its state.
#[derive(Clone)]
pub struct Proxy {
    /// Address, `IP:PORT`.
    pub address: String,
    is_cut: Arc<AtomicBool>,
    // When a list of engines was last requested while the path was cut.
    last_lost_list: Arc<Mutex<Option<Instant>>>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("an address").to_string(),
            is_cut: Arc::default(),
            last_lost_list: Arc::default(),
        };
        let (serving, target) = (proxy.clone(), target.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(&target) else {
                    continue;
                };
                serving.clone().connect(stream, upstream);
            }
        });
        proxy
    }

    /// Cuts or restores the path. What is sent while it is cut is lost, and connections that lost
    /// something stay silent; the host gives them up by its own timeouts.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns when a list of engines was last requested in vain.
    pub fn last_lost_list(&self) -> Option<Instant> {
        *self.last_lost_list.lock().expect("no panic")
    }

    fn connect(self, host: TcpStream, store: TcpStream) {
        let _ = host.set_nodelay(true);
        let _ = store.set_nodelay(true);
        let has_lost = Arc::new(AtomicBool::new(false));
        let (Ok(host_writer), Ok(store_writer)) = (host.try_clone(), store.try_clone()) else {
            return;
        };
        let (back, lost) = (self.clone(), has_lost.clone());
        thread::spawn(move || self.forward(host, store_writer, &has_lost));
        thread::spawn(move || back.forward(store, host_writer, &lost));
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, has_lost: &AtomicBool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 {
                break;
            }
            if self.is_cut.load(Ordering::SeqCst) || has_lost.load(Ordering::SeqCst) {
                has_lost.store(true, Ordering::SeqCst);
                let text = String::from_utf8_lossy(&buffer[..read]);
                if text.starts_with("GET /bilberrypost/objects/servers HTTP") {
                    *self.last_lost_list.lock().expect("no panic") = Some(Instant::now());
                }
                continue;
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        if !has_lost.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
        }
    }
}
