package guavaoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/cockroachdb/errors"
)

// Role is a set of permissions. Each role includes the permissions of the roles before it.
type Role string

// The roles in ascending order of permissions.
const (
	Viewer Role = "viewer"
	Editor Role = "editor"
	Admin  Role = "admin"
)

func (r Role) rank() int {
	switch r {
	case Viewer:
		return 1
	case Editor:
		return 2
	case Admin:
		return 3
	}
	return 0
}

// Account is an operator's account in the settings of a VM.
type Account struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the token in hexadecimal.
	Hash string `json:"hash"`
	Role Role   `json:"role"`
}

// HashToken returns the hash of an operator's token for the settings.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// checkAccounts returns an error if a name is missing or duplicate, or a hash or role is invalid.
func checkAccounts(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		raw, err := hex.DecodeString(a.Hash)
		switch {
		case a.Name == "" || names[a.Name]:
			return errors.Newf("operator %q: a name that no other operator has is needed", a.Name)
		case err != nil || len(raw) != sha256.Size:
			return errors.Newf("operator %q: hash: 64 hexadecimal digits are needed", a.Name)
		case a.Role.rank() == 0:
			return errors.Newf("operator %q: role %q: viewer, editor or admin is needed", a.Name, string(a.Role))
		}
		names[a.Name] = true
	}
	return nil
}

// authorize returns the calling operator if its role is at least minimum.
func (s *Service) authorize(ctx context.Context, minimum Role) (Account, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	token := ""
	if v := md.Get("authorization"); len(v) == 1 {
		token, _ = strings.CutPrefix(v[0], "Bearer ")
	}
	sum := sha256.Sum256([]byte(token))
	var found Account
	for _, a := range s.accounts {
		raw, err := hex.DecodeString(a.Hash)
		// All accounts are compared, so that the response time does not reveal which one matched.
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			found = a
		}
	}
	if token == "" || found.Name == "" {
		return Account{}, status.Error(codes.Unauthenticated, "an operator's token is needed")
	}
	if found.Role.rank() < minimum.rank() {
		return Account{}, status.Errorf(codes.PermissionDenied, "operator %s has role %s; %s is needed", found.Name, found.Role, minimum)
	}
	return found, nil
}
