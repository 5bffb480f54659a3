// Package culprit finds parts of prompts that crash servers, and holds back the requests that contain them.
//
// Evidence goes in: the servers that crashed, with the requests that each had not begun to answer, or had just begun,
// and the parts on which responses have begun and have been survived since. Verdicts come out: sets of parts. All
// instances pool their evidence, and each draws its own verdicts, which are passed on too. Finder uses no sockets, clocks or goroutines.
//
// What tells a part that crashes servers from the parts of requests that were merely there:
//
//   - A server crashes as it begins a response on the part: before the first event, or soon after it. These are two
//     stages with evidence of their own (Begun). The first event of any response on a part acquits it in the first
//     stage, a server that goes on after it in the second.
//   - A part that crashes servers does so each time that it is sent. Only crashes at servers to which a request was
//     sent after the crash before count, so that servers lost together count once.
//   - Responses on other parts begin meanwhile. Otherwise the servers are down, whatever the prompts hold.
//   - A part that only occurred together with others can't be told from them. The verdict is on all of them:
//     requests that contain all are held back, until a response on one of them acquits it.
package culprit
