// Package policy implements the policies of operators: which requests a policy
// covers, their rank, and the service level that they are guaranteed.
//
// A Document is one version of all policies. Each policy is parsed and validated on
// its own: if one is invalid, the last valid policy of that name stays in effect
// and the reason is kept in the document, so that one mistake does not delay
// changes to the others. Versions only increase.
//
//	doc, problems := prev.WithText(version, "change-7", "mill", text)
//	p, ok := doc.Match(labels)
package policy
