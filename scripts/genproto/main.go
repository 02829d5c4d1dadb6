// Command genproto regenerates the Go code of protocol buffer files: it compiles them and
// runs protoc-gen-go on the result, so that no protoc is needed.
//
//	genproto PLUGIN MODULE FILE...
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: genproto PLUGIN MODULE FILE...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2], os.Args[3:]); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

// generate runs plugin on files and writes its output. Paths in the output begin with
// module.
func generate(plugin, module string, files []string) error {
	request, err := compile(files)
	if err != nil {
		return err
	}
	request.Parameter = proto.String("module=" + module)
	data, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(data), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("run %s: %w", plugin, err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(out, response); err != nil {
		return err
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// compile returns the request for a plugin to generate code for files. Imported files come
// before those that import them.
func compile(files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: files}
	added := map[string]bool{}
	var add func(path string, file *descriptorpb.FileDescriptorProto)
	add = func(path string, file *descriptorpb.FileDescriptorProto) {
		if added[path] {
			return
		}
		added[path] = true
		for _, imported := range file.GetDependency() {
			if f := compiled.FindFileByPath(imported); f != nil {
				add(imported, protoutil.ProtoFromFileDescriptor(f))
			}
		}
		request.ProtoFile = append(request.ProtoFile, file)
	}
	for _, f := range compiled {
		add(f.Path(), protoutil.ProtoFromFileDescriptor(f))
	}
	return request, nil
}
