package unsolicited

import (
	"fmt"
	"math/rand/v2"
)

// Marker is a header field of each form that has a complete head. An answer with it that
// reaches a caller is nobody's.
const Marker = "X-Unsolicited"

// Fields are the names of the header fields of a target's answers.
type Fields struct {
	RequestID string // the request that is answered
	NotRun    string // states that the request has not run, with its value: "Name: value"
	Instance  string // the target that answers
	Stamp     string // marks a target's own answer
}

// Form is a form of bytes that belong to no request.
type Form struct {
	Name  string
	Bytes string
}

// Forms returns complete answers that belong to no request, and some that are not complete.
func (f Fields) Forms() []Form {
	answer := func(status int, body string, fields ...string) string {
		s := fmt.Sprintf("HTTP/1.1 %d S\r\n%s: 1\r\n", status, Marker)
		for _, field := range fields {
			s += field + "\r\n"
		}
		return s + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	var forms []Form
	for _, status := range []int{503, 429, 408, 400} {
		forms = append(forms, Form{fmt.Sprint("rejection ", status), answer(status, "", f.NotRun)})
	}
	misdirection := answer(421, "", f.Instance+": another")
	rejection := fmt.Sprintf("HTTP/1.1 503 S\r\n%s\r\n", f.NotRun)
	return append(forms,
		Form{"misdirection", misdirection},
		Form{"rejection of another request", answer(503, "", f.NotRun, f.RequestID+": another")},
		Form{"failure", answer(500, "failure")},
		Form{"failure with a stamp", answer(500, "failure", f.Stamp+": s")},
		Form{"bad request", answer(400, "")},
		Form{"redirection", answer(302, "", "Location: /")},
		Form{"answer to another request", answer(200, "other", f.Stamp+": s", f.RequestID+": another")},
		Form{"answer without a name", answer(200, "other", f.Stamp+": s")},
		Form{"interim answer 100", "HTTP/1.1 100 Continue\r\n\r\n"},
		Form{"interim answer 102", "HTTP/1.1 102 Processing\r\n\r\n"},
		Form{"line end", "\r\n"},
		Form{"head that is cut at the end of a line", rejection},
		Form{"head that is cut in a field", rejection + "X-Note: "},
		Form{"head that is cut in its status line", "HTTP/1.1 200 O"},
		Form{"head that is cut in the name of a request", rejection + f.RequestID + ": "},
		Form{"answer that is cut in its body", "HTTP/1.1 503 S\r\n" + f.NotRun + "\r\nContent-Length: 400\r\n\r\ncut"},
	)
}

// cutOneIn is the share of drawn forms, as one in so many, that are cut somewhere.
const cutOneIn = 4

// Draw returns one of forms at random, or a part of it.
func Draw(rng *rand.Rand, forms []Form) []byte {
	b := []byte(forms[rng.IntN(len(forms))].Bytes)
	if rng.IntN(cutOneIn) == 0 {
		b = b[:1+rng.IntN(len(b))]
	}
	return b
}
