//! A TCP relay that can be cut: while it is, it hands on nothing in either direction and says nothing.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Listens at `at` and hands each connection on to `to`.
pub fn start(at: SocketAddr, to: SocketAddr, is_cut: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let is_cut = is_cut.clone();
            std::thread::spawn(move || serve(near, to, &is_cut));
        }
    });
    Ok(())
}

fn wait(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn serve(near: TcpStream, to: SocketAddr, is_cut: &Arc<AtomicBool>) {
    wait(is_cut);
    let Ok(far) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let cut = is_cut.clone();
    std::thread::spawn(move || copy(near_too, far_too, &cut));
    copy(far, near, is_cut);
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        wait(is_cut);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    wait(is_cut);
    _ = to.shutdown(Shutdown::Both);
    _ = from.shutdown(Shutdown::Both);
}
