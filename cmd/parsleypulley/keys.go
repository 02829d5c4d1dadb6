package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"parsleypulley/internal/certs"
)

type keysCommand struct {
	Dir       string        `help:"Folder of the certificate authority and the certificates." default:"keys" type:"path"`
	Validity  time.Duration `help:"How long new certificates are valid." default:"8760h"`
	Processes []string      `arg:"" optional:"" help:"Processes to make certificates for, as ROLE:NAME with role router, agent or control."`
}

// issuedKeys is the output of "keys".
type issuedKeys struct {
	// AuthorityCreated is set if a new certificate authority was created.
	AuthorityCreated bool `json:"authority_created"`
	// Files holds the paths of the created certificates and private keys.
	Files []string `json:"files"`
}

func (c *keysCommand) Run(p *printer) error {
	if c.Validity <= 0 {
		return usageError{fmt.Errorf("--validity %v is not positive", c.Validity)}
	}
	now := time.Now()
	authority, created, err := certs.OpenAuthority(c.Dir, now, c.Validity)
	if err != nil {
		return err
	}
	issued := issuedKeys{AuthorityCreated: created, Files: []string{}}
	for _, process := range c.Processes {
		role, name, ok := strings.Cut(process, ":")
		if !ok {
			return usageError{fmt.Errorf("%q is not ROLE:NAME", process)}
		}
		cert, key, err := authority.Issue(role, name, now, c.Validity)
		if err != nil {
			return err
		}
		issued.Files = append(issued.Files, cert, key)
	}
	return p.printValue(issued, func(w io.Writer) {
		if created {
			fmt.Fprintf(w, "made a certificate authority in %s; keep ca-key.pem off the VMs\n", c.Dir)
		}
		for _, file := range issued.Files {
			fmt.Fprintln(w, file)
		}
	})
}
