package courier

import (
	"fmt"
	"net/http"
)

// checkResponse checks what net/http lets pass. An upgrade is never requested, so that the
// bytes after a 101 are in no known protocol.
func checkResponse(httpResp *http.Response) error {
	switch status := httpResp.StatusCode; {
	case httpResp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s, want HTTP/1.0 or HTTP/1.1", ErrInvalidResponse, httpResp.Proto)
	case status < 100 || status > 599:
		return fmt.Errorf("%w: status %03d, want 100 to 599", ErrInvalidResponse, status)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status 101 without an upgrade", ErrInvalidResponse)
	case status < 200 || status == http.StatusNoContent:
		if httpResp.Header.Get("Content-Length") != "" && httpResp.Header.Get("Content-Length") != "0" || len(httpResp.TransferEncoding) > 0 {
			return fmt.Errorf("%w: status %d with a body", ErrInvalidResponse, status)
		}
	}
	return nil
}
