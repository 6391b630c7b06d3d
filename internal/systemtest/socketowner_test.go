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

// A relay has to know who calls, but all calls come from the same address. The system tells the number of the socket at
// the other end of a connection, and the descriptors of a process tell whether that is its own.

// ownsSocket reports whether a process has the socket.
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

// The system's interface to its table of sockets: a request for one of them, and where the answer has its number.
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

// socketOf names the caller's socket of an accepted connection, as a process's descriptors name it.
func socketOf(connection net.Conn) (string, error) {
	handle, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, socketDiagnosis)
	if err != nil {
		return "", fmt.Errorf("table of sockets: %w", err)
	}
	defer syscall.Close(handle)
	request := diagnosisRequest(connection.RemoteAddr().(*net.TCPAddr), connection.LocalAddr().(*net.TCPAddr))
	if err := syscall.Sendto(handle, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", fmt.Errorf("request the table of sockets: %w", err)
	}
	buffer := make([]byte, os.Getpagesize())
	length, _, err := syscall.Recvfrom(handle, buffer, 0)
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

// diagnosisRequest asks for the socket with these two ends.
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
