//! Relays of the traffic between entries, which can cut off some of them.
//!
//! Each entry has a relay, by which all others reach it, and at whose address the others see what it
//! sends. So entries know each other by relays only.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The addresses of a script: the entries and their relays.
#[derive(Clone, Copy)]
pub struct Net {
    pub block: [u8; 2],
    pub entries: usize,
    pub peer_port: u16,
}

impl Net {
    pub fn entry(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], 10 + index as u8)
    }

    /// The address by which the others reach an entry.
    pub fn relay(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], 80 + index as u8)
    }

    fn entry_at(&self, ip: Ipv4Addr) -> Option<usize> {
        (0..self.entries).find(|index| self.entry(*index) == ip)
    }
}

/// The relays between all entries.
#[derive(Clone)]
pub struct Relays {
    /// True for entries that are cut off from all other entries.
    cut: Arc<Vec<AtomicBool>>,
}

impl Relays {
    pub fn start(net: Net) -> io::Result<Self> {
        let cut = (0..net.entries).map(|_| AtomicBool::new(false)).collect::<Vec<_>>();
        let relays = Self { cut: Arc::new(cut) };
        let mut sockets = Vec::new();
        for to in 0..net.entries {
            let address = SocketAddr::from((net.relay(to), net.peer_port));
            sockets.push(UdpSocket::bind(address)?);
            relays.relay_tcp(net, TcpListener::bind(address)?, to);
        }
        let sockets = Arc::new(sockets);
        for to in 0..net.entries {
            let (sockets, relays) = (Arc::clone(&sockets), relays.clone());
            thread::spawn(move || {
                let target = SocketAddr::from((net.entry(to), net.peer_port));
                let mut buf = [0_u8; 16 * 1024];
                while let Ok((length, source)) = sockets[to].recv_from(&mut buf) {
                    let SocketAddr::V4(source) = source else { continue };
                    let Some(from) = net.entry_at(*source.ip()) else {
                        // The agents beside servers are not cut off.
                        let _ = sockets[to].send_to(&buf[..length], target);
                        continue;
                    };
                    if from != to && !relays.is_cut(from) && !relays.is_cut(to) {
                        let _ = sockets[from].send_to(&buf[..length], target);
                    }
                }
            });
        }
        Ok(relays)
    }

    pub fn cut(&self, entry: usize, cut: bool) {
        self.cut[entry].store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self, entry: usize) -> bool {
        self.cut[entry].load(Ordering::SeqCst)
    }

    /// Relays connections to an entry. Those that an entry opens while it is cut off itself pass, but
    /// it opens them only to entries that it hears.
    fn relay_tcp(&self, net: Net, listener: TcpListener, to: usize) {
        let relays = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relays = relays.clone();
                thread::spawn(move || {
                    let address = SocketAddr::from((net.entry(to), net.peer_port));
                    let Ok(target) = TcpStream::connect(address) else { return };
                    let (Ok(back), Ok(source)) = (target.try_clone(), stream.try_clone()) else {
                        return;
                    };
                    let other = relays.clone();
                    thread::spawn(move || other.pump(back, source, to));
                    relays.pump(stream, target, to);
                });
            }
        });
    }

    /// Copies bytes in one direction; nothing passes a cut, and nothing is reset by it.
    fn pump(&self, mut source: TcpStream, mut target: TcpStream, to: usize) {
        let mut buf = [0_u8; 16 * 1024];
        while let Ok(length) = source.read(&mut buf) {
            while self.is_cut(to) {
                thread::sleep(Duration::from_millis(20));
            }
            if length == 0 || target.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        let _ = target.shutdown(Shutdown::Both);
        let _ = source.shutdown(Shutdown::Both);
    }
}
