//! Signals and small sockets, which the standard library has no calls for.

use std::ffi::c_int;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGTERM: c_int = 15;
pub const SIGKILL: c_int = 9;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

const PR_SET_PDEATHSIG: c_int = 1;

unsafe extern "C" {
    fn prctl(option: c_int, argument: usize) -> c_int;
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_int, size: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, size: u32) -> c_int;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: c_int) {
    if let Ok(pid) = c_int::try_from(pid) {
        // SAFETY: the call takes two numbers and touches no memory of this process.
        unsafe { kill(pid, signal) };
    }
}

/// Connects with a small receive buffer, as a client that has little memory for a connection.
pub fn connect_with_buffer(address: SocketAddrV4, bytes: c_int) -> io::Result<TcpStream> {
    let target = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the pointers are to values that live through the calls, with their sizes; the
    // descriptor is open and owned by nobody else.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) != 0
            || connect(fd, &raw const target, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Has this process killed when its parent ends, so that none is left if a case is stopped.
pub fn end_with_parent() -> io::Result<()> {
    // SAFETY: the call takes two numbers and touches no memory of this process.
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as usize) } == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}
