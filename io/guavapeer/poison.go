package guavapeer

import (
	"guavaridge/core/guavapoison"
	"guavaridge/io/guavaschema"
)

func poisonMessages(reports []guavapoison.Report) []*guavaschema.PeerPoison {
	ms := make([]*guavaschema.PeerPoison, 0, len(reports))
	for _, r := range reports {
		ms = append(ms, &guavaschema.PeerPoison{
			Fingerprint: string(r.Fingerprint), Server: r.Server, Began: r.Began, At: r.At, Clear: r.Clear, Refused: r.Refused,
		})
	}
	return ms
}

func poisonReports(ms []*guavaschema.PeerPoison) []guavapoison.Report {
	reports := make([]guavapoison.Report, 0, len(ms))
	for _, m := range ms {
		reports = append(reports, guavapoison.Report{
			Fingerprint: guavapoison.Fingerprint(m.GetFingerprint()), Server: m.GetServer(), Began: m.GetBegan(), At: m.GetAt(),
			Clear: m.GetClear(), Refused: m.GetRefused(),
		})
	}
	return reports
}
