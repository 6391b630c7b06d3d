package systemtest

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// A relay has to know which process a call comes from, but all calls come from the same IP address. So it looks up the inode
// of the socket at the remote end of the connection through Linux's sock_diag interface, and searches the file descriptors of
// the processes for that socket.

// ownsSocket reports whether a process has a file descriptor of the socket.
func ownsSocket(pid int, socket string) bool {
	folder := filepath.Join("/proc", fmt.Sprint(pid), "fd")
	directory, err := os.Open(folder)
	if err != nil {
		return false
	}
	defer directory.Close()
	names, _ := directory.Readdirnames(-1)
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(folder, name)); err == nil && target == socket {
			return true
		}
	}
	return false
}

// Constants of sock_diag requests and replies; see sock_diag(7). The offsets are in bytes within the message body.
const (
	socketDiagnosis   = 4  // NETLINK_SOCK_DIAG
	diagnosisByFamily = 20 // SOCK_DIAG_BY_FAMILY
	requestLength     = 56
	answerLength      = 72
	inodeOffset       = 68
	portsOffset       = 8
	sourceOffset      = 12
	targetOffset      = 28
	cookieOffset      = 48
	allStates         = 0xfff
)

var errNoSocket = errors.New("no such socket")

// socketOf returns the name of the caller's socket of an accepted connection, in the form of the links in /proc/PID/fd.
func socketOf(connection net.Conn) (string, error) {
	descriptor, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, socketDiagnosis)
	if err != nil {
		return "", fmt.Errorf("table of sockets: %w", err)
	}
	defer syscall.Close(descriptor)
	request := diagnosisRequest(connection.RemoteAddr().(*net.TCPAddr), connection.LocalAddr().(*net.TCPAddr))
	if err := syscall.Sendto(descriptor, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", fmt.Errorf("request the table of sockets: %w", err)
	}
	buffer := make([]byte, os.Getpagesize())
	length, _, err := syscall.Recvfrom(descriptor, buffer, 0)
	if err != nil {
		return "", fmt.Errorf("read the table of sockets: %w", err)
	}
	messages, err := syscall.ParseNetlinkMessage(buffer[:length])
	if err != nil {
		return "", fmt.Errorf("read the table of sockets: %w", err)
	}
	for _, message := range messages {
		if message.Header.Type == diagnosisByFamily && len(message.Data) >= answerLength {
			return fmt.Sprintf("socket:[%d]", binary.NativeEndian.Uint32(message.Data[inodeOffset:])), nil
		}
	}
	return "", errNoSocket
}

// diagnosisRequest returns a request for the socket with the given local and remote addresses.
func diagnosisRequest(own, other *net.TCPAddr) []byte {
	request := make([]byte, syscall.NLMSG_HDRLEN+requestLength)
	binary.NativeEndian.PutUint32(request[0:], uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], diagnosisByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	body := request[syscall.NLMSG_HDRLEN:]
	body[0], body[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], allStates)
	binary.BigEndian.PutUint16(body[portsOffset:], uint16(own.Port))
	binary.BigEndian.PutUint16(body[portsOffset+2:], uint16(other.Port))
	copy(body[sourceOffset:], own.IP.To4())
	copy(body[targetOffset:], other.IP.To4())
	for i := range 8 { // any cookie
		body[cookieOffset+i] = 0xff
	}
	return request
}
