//! The journal service: whoever greets it is handed to the test.

use crate::HANG;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

pub struct Journal {
    pub address: SocketAddr,
    greeted: Receiver<(String, TcpStream)>,
}

impl Journal {
    pub fn start() -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, greeted) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                let _ = tell.send((line, stream));
            }
        });
        Journal { address, greeted }
    }

    pub fn greeting(&self) -> (String, TcpStream) {
        self.greeted.recv_timeout(HANG).expect("a greeting")
    }
}
